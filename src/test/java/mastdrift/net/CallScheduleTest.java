package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import mastdrift.Balance;
import mastdrift.Balancer;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Whatever calls to discovery have come to, a change that it had and could be asked for is heard 6 s later: by the virtual clock, with the module's own back-off. */
class CallScheduleTest {

    private static final long TOLD = 6_000_000;
    private static final int SEEDS = 100;

    @TempDir
    private Path folder;

    private Settings settings(long mustAskIn, long seed) throws Exception {
        String text = mustAskIn == 0 ? SETTINGS.replace("\"registry_mode\":\"on_request\"", "\"registry_mode\":\"pushed\"")
                : SETTINGS.replace("\"must_ask_in\":1000000", "\"must_ask_in\":" + mustAskIn);
        Path file = folder.resolve("config.json");
        Files.writeString(file, "{\"name\":\"n0\",\"seed\":\"" + Long.toHexString(seed) + "\",\"limits\":{\"sockets\":112},\"known\":"
                + Loopback.list(1, true) + ",\"settings\":" + text + "}");
        return GatewayConfig.read(Map.of("NODE_CONFIG", file.toString(), "NODE_LISTEN", "127.0.0.1:0", "NODE_DISCOVERY", "127.0.0.1:1")).settings();
    }

    /** One gateway's calls on a virtual clock: the schedule, the real module, and a discovery that does with each call what its script says. */
    private static final class Rig {

        /** An event that is to come. */
        private record Event(long at, long order, Runnable what) { }

        private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
        private final Balancer module = new Balance();
        private final CallSchedule<Integer> schedule;
        private final List<String> fates = new ArrayList<>();  // of the next calls
        private String usual = "answers 0";  // of those behind them
        private final List<Long> calls = new ArrayList<>();
        private final List<Long> refusals = new ArrayList<>();
        private final TreeMap<Integer, Boolean> telling = new TreeMap<>();
        private int mostOut;
        private long now;
        private long ordered;
        private long heardAt = -1;  // the last line
        private int told;

        Rig(Settings settings, long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            schedule = new CallSchedule<>(settings.registryOnRequest() ? CallSchedule.TURN : CallSchedule.AGENT_TURN, true, random::nextLong);
            Balancer.Actions actions = (Balancer.Actions) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] {Balancer.Actions.class},
                    (proxy, method, given) -> {
                        if (method.getName().equals("timer") && !given[1].equals("refresh")) {
                            at((long) given[0], () -> module.timer(now, (String) given[1]));
                        } else if (method.getName().equals("watch")) {
                            schedule.ask(now);
                        }
                        return null;
                    });
            module.start(now, settings, actions);
            module.hosts(now, ListForm.CACHED, List.of());
            if (!settings.registryOnRequest()) {
                schedule.ask(now);
            }
        }

        private void at(long when, Runnable what) {
            events.add(new Event(when, ordered++, what));
        }

        /** Until a moment, or until {@code done}. */
        void run(long until, BooleanSupplier done) {
            for (int turns = 0; !done.getAsBoolean(); turns++) {
                assertTrue(turns < 1_000_000, "nothing moves at " + now + ": next " + schedule.due() + ", events " + events);
                look();
                long next = Math.min(schedule.due(), events.isEmpty() ? Long.MAX_VALUE : events.peek().at);
                if (next > until) {
                    now = until;
                    return;
                }
                now = Math.max(now, next);
                if (!events.isEmpty() && events.peek().at <= now) {
                    events.poll().what.run();
                }
            }
        }

        /** As the gateway does after every event. */
        private void look() {
            for (int late : schedule.overdue(now)) {
                fail(late);
            }
            if (schedule.begins(now)) {
                int call = calls.size();
                calls.add(now);
                schedule.began(now, call);
                begin(call, fates.isEmpty() ? usual : fates.remove(0));
                mostOut = Math.max(mostOut, (int) IntStream.rangeClosed(Math.max(0, call - 5), call).filter(schedule::out).count());
            }
        }

        private void begin(int call, String fate) {
            String[] words = fate.split(" ");
            long millis = words.length > 1 ? (long) (Double.parseDouble(words[1]) * 1000) : 0;
            if (words[0].equals("down")) {
                at(now, () -> fail(call));
            } else if (!words[0].equals("hangs")) {  // as a dial
                at(now, () -> schedule.connected(now, call));
            }
            switch (words[0]) {
                case "refuses" -> at(now + millis * 1000, () -> fail(call));
                case "answers" -> at(now + millis * 1000, () -> line(call, true));
                case "once" -> at(now, () -> line(call, false));  // and is silent from then on
                default -> { }
            }
        }

        private void line(int call, boolean on) {
            if (schedule.out(call)) {
                schedule.heard(now, call);
                heardAt = now;
                telling.put(call, on);
                module.hosts(now, ListForm.DELTA, List.of());
                if (on) {
                    at(now + 2_000_000, () -> line(call, true));
                }
            }
        }

        void fail(int call) {
            if (!schedule.out(call)) {
                return;
            }
            refusals.add(now);
            if (schedule.failed(now, call)) {
                told++;
                module.hosts(now, ListForm.FAILED, List.of());
            }
        }

        int out() {
            for (int call = calls.size() - 1; call >= 0; call--) {
                if (schedule.out(call)) {
                    return call;
                }
            }
            return -1;
        }
    }

    /** What had happened by the moment from which the change is there and discovery could be asked. */
    private static void upTo(String before, Rig rig) {
        String[] words = before.split(" ");
        int times = words.length > 1 ? Integer.parseInt(words[1]) : 1;
        switch (words[0]) {
            case "silence" -> {  // of a watch, right behind a line
                rig.fates.add("once");
                rig.run(Long.MAX_VALUE, () -> rig.heardAt >= 0);
            }
            case "end" -> {  // of a watch
                rig.run(Long.MAX_VALUE, () -> rig.heardAt >= 0);
                rig.fail(rig.out());
            }
            case "refused" -> {
                rig.usual = "down";
                rig.run(Long.MAX_VALUE, () -> rig.refusals.size() == times);
            }
            case "waited" -> {  // in vain, for its turn
                rig.usual = "refuses 2";
                rig.run(Long.MAX_VALUE, () -> rig.refusals.size() == times);
            }
            case "frozen" -> {  // the last call was taken a moment ago, and will not be answered
                rig.usual = "silent";
                rig.run(Long.MAX_VALUE, () -> rig.calls.size() == times);
                rig.run(rig.now + 1_000, () -> false);
            }
            case "cut" -> {  // the last dial was begun a moment ago
                rig.usual = "hangs";
                rig.run(Long.MAX_VALUE, () -> rig.calls.size() == times);
                rig.run(rig.now + 1_000, () -> false);
            }
            default -> throw new IllegalArgumentException(before);
        }
    }

    /** What was before, what the next calls come to, and for how long the one that is answered waits for its turn: as long as the 6 s leave it, up to the
        longest wait there is. {@code must_ask_in} is in seconds, 0 where lists are pushed. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "silence    | answers       | 2.1 | 10", "silence    | hangs         | 2.1 | 10", "silence    | hangs, hangs  | 2.1 | 10", "silence | silent | 0.8 | 10",
        "silence    | down          | 2.1 | 10", "silence    | refuses 2     | 0.3 | 10", "silence    | down, hangs   | 1.8 | 10",
        "silence    | hangs, silent | 0.3 | 10", "silence    | once          | 2.1 | 10",
        "end        | answers       | 3.5 | 10", "end        | hangs         | 3.5 | 10", "end        | hangs, hangs  | 3.5 | 10", "end     | silent | 3.3 | 10",
        "end        | down, silent  | 2.5 | 10", "end        | down, hangs   | 3.5 | 10", "end        | down, down    | 3.5 | 10",
        "refused 1  | answers       | 3.5 | 10", "refused 4  | answers       | 3.5 | 10", "refused 8  | answers       | 3.5 | 10", "refused 4 | silent | 1.4 | 10",
        "refused 4  | hangs         | 3.2 | 10", "refused 4  | hangs, hangs  | 2.7 | 10", "refused 4  | down          | 1.4 | 10",
        "refused 4  | answers       | 3.5 | 60", "refused 8  | silent        | 1.4 | 60", "refused 8  | hangs         | 3.2 | 60", "refused 4 | answers | 3.5 | 600",
        "waited 4   | answers       | 3.5 | 10", "waited 4   | silent        | 1.4 | 10", "waited 4   | hangs         | 3.2 | 60",
        "frozen 1   | answers       | 3.5 | 10", "frozen 2   | answers       | 3.5 | 10", "frozen 3   | answers       | 3.5 | 10", "frozen 7 | answers | 3.5 | 60",
        "frozen 2   | silent        | 1.4 | 10", "frozen 2   | hangs         | 3.2 | 10",
        "cut 1      | answers       | 3.5 | 10", "cut 2      | answers       | 3.5 | 10", "cut 3      | answers       | 3.5 | 10", "cut 8   | answers | 3.5 | 60",
        "cut 3      | hangs, hangs  | 3.5 | 10", "cut 3      | silent        | 2.5 | 10",
        "silence    | silent        | 0   | 0",  "silence    | silent, silent | 0  | 0",  "silence    | hangs, silent, hangs, silent | 0 | 0", "frozen 9 | answers | 0 | 0",
        "cut 9      | answers       | 0   | 0",  "silence    | down, down, silent | 0 | 0"})
    void aChangeIsHeardInTime(String before, String next, String wait, long mustAskIn) throws Exception {
        long longest = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Rig rig = new Rig(settings(mustAskIn * 1_000_000, seed), seed);
            upTo(before, rig);
            rig.fates.clear();
            if (!next.equals("answers")) {
                rig.fates.addAll(List.of(next.split(", ")));
            }
            rig.usual = "answers " + wait;
            long from = rig.now;
            int known = rig.calls.size();
            int there = rig.out();
            rig.heardAt = -1;
            rig.run(from + 60_000_000, () -> rig.heardAt >= 0 && rig.calls.size() > known && rig.out() != there);
            longest = Math.max(longest, rig.heardAt - from);
            assertTrue(rig.mostOut <= CallSchedule.OPEN_MOST, rig.mostOut + " calls out");
        }
        assertTrue(longest <= TOLD, "heard after " + longest / 1000 + " ms");
    }

    /** SIGHUP at any moment of a watch's silence, of the pause behind it, of the next call that is silent too: the new address is asked at once, and again soon. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"answers | 2.1", "hangs | 1.9", "silent | 0.8", "silent, hangs | 0.2", "down, hangs, down | 1.7"})
    void aMoveDuringItIsHeardInTime(String next, String wait) throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            Rig rig = new Rig(settings(10_000_000, seed), seed);
            upTo("silence", rig);
            rig.usual = "silent";
            long from = rig.now;
            long moved = new SplittableRandom(seed).nextLong(3_300_000);
            rig.run(from + moved, () -> false);
            rig.fates.addAll(List.of(next.split(", ")));
            rig.usual = "answers " + wait;
            rig.schedule.moved(rig.now);
            rig.heardAt = -1;
            rig.run(from + 60_000_000, () -> rig.heardAt >= 0);
            assertTrue(rig.heardAt - from <= TOLD, "moved after " + moved / 1000 + " ms, heard after " + (rig.heardAt - from) / 1000 + " ms");
        }
    }

    /** A discovery that refuses, at once or after 2 s for which a call waited for its turn, has hardly more callers by the schedule than by the module's back-off
        alone, which comes to 2 s in the mean here, and never two calls of one gateway. */
    @ParameterizedTest
    @ValueSource(strings = {"down", "refuses 2", "refuses 2.1"})
    void aCrowdIsNotMadeLarger(String usual) throws Exception {
        long took = usual.equals("down") ? 0 : (long) (Double.parseDouble(usual.split(" ")[1]) * 1e6);
        long span = 600_000_000;
        int calls = 0;
        for (int seed = 0; seed < SEEDS / 2; seed++) {
            Rig rig = new Rig(settings(10_000_000, seed), seed);
            rig.usual = usual;
            rig.run(span, () -> false);
            calls += rig.calls.size();
            assertEquals(1, rig.mostOut);
        }
        double alone = span / (2_000_000.0 + took) * (SEEDS / 2);
        assertTrue(calls < 1.15 * alone, calls + " calls, by the back-off alone " + (long) alone);
    }

    /** A module whose pauses are long isn't heard on top: the call that the schedule began ahead of its asking stands for that. */
    @Test
    void whoAsksLateFindsACallThatHasBegun() throws Exception {
        Rig rig = new Rig(settings(600_000_000, 1), 1);  // pauses of 15 s in the mean, and more
        rig.usual = "down";
        rig.run(300_000_000, () -> false);
        for (int i = 2; i < rig.calls.size(); i++) {
            long pause = rig.calls.get(i) - rig.calls.get(i - 1);
            assertTrue(pause >= 1_750_000 && pause <= 2_250_000, "call " + i + " after " + pause);
        }
        assertTrue(rig.told >= 3 && rig.told < rig.calls.size() / 2, "told " + rig.told + " of " + rig.calls.size());
    }
}
