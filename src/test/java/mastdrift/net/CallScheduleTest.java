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

/**
 * However earlier calls to discovery have ended, a change that it has and can be asked for is received within 6 s. Runs
 * on a virtual clock, with the back-off of the real decision module.
 */
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
        return Config.read(Map.of("NODE_CONFIG", file.toString(), "NODE_LISTEN", "127.0.0.1:0", "NODE_DISCOVERY", "127.0.0.1:1")).settings();
    }

    /**
     * The calls of one gateway on a virtual clock: the scheduler, the real decision module, and a discovery that
     * handles each call as scripted.
     */
    private static final class Rig {

        /** A future event; events of the same time run in the order in which they were added. */
        private record Event(long at, long order, Runnable what) { }

        private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
        private final Balancer module = new Balance();
        private final CallSchedule<Integer> schedule;
        private final List<String> fates = new ArrayList<>();  // of the next calls
        private String usual = "answers 0";  // of all calls after those
        private final List<Long> calls = new ArrayList<>();
        private final List<Long> refusals = new ArrayList<>();
        private final TreeMap<Integer, Boolean> telling = new TreeMap<>();
        private int mostOut;
        private long now;
        private long ordered;
        private long heardAt = -1;  // time of the last line; -1 for none
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

        /** Runs events up to a time, or until {@code done}. */
        void run(long until, BooleanSupplier done) {
            for (int turns = 0; !done.getAsBoolean(); turns++) {
                assertTrue(turns < 1_000_000, "no progress at " + now + ": next " + schedule.due() + ", events " + events);
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

        /** What the gateway does after every event. */
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
            } else if (!words[0].equals("hangs")) {  // the connection never comes up
                at(now, () -> schedule.connected(now, call));
            }
            switch (words[0]) {
                case "refuses" -> at(now + millis * 1000, () -> fail(call));
                case "answers" -> at(now + millis * 1000, () -> line(call, true));
                case "once" -> at(now, () -> line(call, false));  // one line, then silence
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

    /** Brings about the state from which on the change is available and discovery can be asked for it. */
    private static void upTo(String before, Rig rig) {
        String[] words = before.split(" ");
        int times = words.length > 1 ? Integer.parseInt(words[1]) : 1;
        switch (words[0]) {
            case "silence" -> {  // of a watch, right after a line
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
            case "waited" -> {  // for its turn, and was refused then
                rig.usual = "refuses 2";
                rig.run(Long.MAX_VALUE, () -> rig.refusals.size() == times);
            }
            case "frozen" -> {  // the last call was accepted a moment ago and will not be answered
                rig.usual = "silent";
                rig.run(Long.MAX_VALUE, () -> rig.calls.size() == times);
                rig.run(rig.now + 1_000, () -> false);
            }
            case "cut" -> {  // the last connect was started a moment ago and never completes
                rig.usual = "hangs";
                rig.run(Long.MAX_VALUE, () -> rig.calls.size() == times);
                rig.run(rig.now + 1_000, () -> false);
            }
            default -> throw new IllegalArgumentException(before);
        }
    }

    /**
     * Columns: the state before, what becomes of the next calls, how long in seconds the call that is answered waits
     * for its turn, and {@code must_ask_in} in seconds (0 where an agent pushes the lists). The wait is the longest
     * that the limit of 6 s leaves for it, up to the longest that occurs.
     */
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
        assertTrue(longest <= TOLD, "received after " + longest / 1000 + " ms");
    }

    /**
     * SIGHUP at any time during a watch's silence, the delay after it, or the next call, which is silent too: the new
     * address is called at once, and again soon.
     */
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
            assertTrue(rig.heardAt - from <= TOLD, "moved after " + moved / 1000 + " ms, received after " + (rig.heardAt - from) / 1000 + " ms");
        }
    }

    /**
     * A discovery that refuses calls, at once or after they waited 2 s for their turn, gets less than 15 % more calls
     * from the scheduler than from the module's back-off alone, which is 2 s on average here, and never two calls of
     * one gateway at a time.
     */
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
        assertTrue(calls < 1.15 * alone, calls + " calls, with the back-off alone " + (long) alone);
    }

    /**
     * With a long back-off of the module, the call that the scheduler started before the module asked again stands for
     * that request: no further one is started.
     */
    @Test
    void whoAsksLateFindsACallThatHasBegun() throws Exception {
        Rig rig = new Rig(settings(600_000_000, 1), 1);  // back-off of 15 s on average, and more
        rig.usual = "down";
        rig.run(300_000_000, () -> false);
        for (int i = 2; i < rig.calls.size(); i++) {
            long pause = rig.calls.get(i) - rig.calls.get(i - 1);
            assertTrue(pause >= 1_750_000 && pause <= 2_250_000, "call " + i + " after " + pause);
        }
        assertTrue(rig.told >= 3 && rig.told < rig.calls.size() / 2, "reported " + rig.told + " of " + rig.calls.size());
    }
}
