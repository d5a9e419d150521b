package mastdrift.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import mastdrift.lab.rig.Fault.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each checker catches what it is for: histories as a gateway with one fault would leave them. */
class JudgeTest {

    private static final long SECOND = 1_000_000;
    private static final List<String> NAMES = List.of("g0", "g1", "g2");

    private static List<String> broken(List<Fault> faults, Consumer<History> more) {
        History history = new History();
        for (String one : NAMES) {
            for (String other : NAMES) {
                if (!one.equals(other)) {
                    history.add(100, one, "peer_joined", "peer", other, "by", other);
                }
            }
        }
        more.accept(history);
        history.add(60 * SECOND, "rig", "end");
        return new Judge(history, faults, NAMES, SECOND, 10 * SECOND).judge().stream().map(Judge.Broken::law).sorted().toList();
    }

    private static void asked(History history, long at, int gateway, int status, String body, long micros) {
        history.add(at, "client", "asked", "id", "id-1", "gateway", gateway, "key", "", "status", status, "body", body, "micros", micros);
    }

    private static void ran(History history, long at, String group) {
        history.add(at, "host", "ran", "key", "k", "group", group, "id", "x");
    }

    @Test
    void effects() {
        assertEquals(List.of("no effect happens twice"), broken(List.of(), history -> {
            ran(history, 2 * SECOND, "a");
            ran(history, 3 * SECOND, "b");
        }));
        assertEquals(List.of("no effect happens twice"), broken(List.of(), history -> {
            ran(history, 2 * SECOND, "a");
            ran(history, 13 * SECOND, "a");
        }));
        assertEquals(List.of(), broken(List.of(), history -> {
            ran(history, 2 * SECOND, "a");
            ran(history, 3 * SECOND, "a");
        }));
    }

    /** What a gateway that is well owes; one that is stopped then owes nothing. */
    @Test
    void answers() {
        List<Fault> stopped = List.of(new Fault(Kind.FREEZE, 4 * SECOND, 5 * SECOND, List.of(1), 0));
        assertEquals(List.of("each request gets one final answer"), broken(List.of(), history -> asked(history, 5 * SECOND, 1, 0, "", 100)));
        assertEquals(List.of("a final answer comes in time"), broken(List.of(), history -> asked(history, 5 * SECOND, 1, 503, "", 2_500_000)));
        assertEquals(List.of("an answer is of its own request"), broken(List.of(), history -> asked(history, 5 * SECOND, 1, 200, "h0 id-2", 100)));
        assertEquals(List.of("each request gets one final answer"), broken(stopped, history -> asked(history, 5 * SECOND, 0, 0, "", 100)));
        assertEquals(List.of(), broken(stopped, history -> asked(history, 5 * SECOND, 1, 0, "", 100)));
        assertEquals(List.of(), broken(List.of(), history -> asked(history, 5 * SECOND, 1, 200, "h0 id-1", 100)));
    }

    /** How long a start takes is the machine's: it owes nothing until it serves and a while after. Then it owes all, and that it ever serves. */
    @Test
    void starts() {
        List<Fault> killed = List.of(new Fault(Kind.KILL, 3 * SECOND, 4 * SECOND, List.of(1), 0));
        assertEquals(List.of(), broken(killed, history -> slow(history, 16, 17)));
        assertEquals(List.of("each request gets one final answer"), broken(killed, history -> slow(history, 16, 20)));
        assertEquals(List.of("each request gets one final answer"), broken(killed, history -> slow(history, 7, 12)));
        assertEquals(List.of("each request gets one final answer"), broken(killed, history -> {
            slow(history, 16, 17);
            asked(history, 17 * SECOND, 2, 0, "", 100);
        }));
        assertEquals(List.of("a start ends in serving", "each request gets one final answer"), broken(killed, history -> {
            slow(history, 65, 12);
            history.add(66 * SECOND, "rig", "end");
        }));
    }

    /** One that is told to end may take longer than was planned, so that the run ends as it starts again: it owes nothing until then and a while after. */
    @Test
    void ends() {
        List<Fault> restarted = List.of(new Fault(Kind.RESTART, 3 * SECOND, 4 * SECOND, List.of(1), 0));
        assertEquals(List.of(), broken(restarted, history -> slowEnd(history, 13)));
        assertEquals(List.of("each request gets one final answer"), broken(restarted, history -> slowEnd(history, 22)));
    }

    /** g1 is told to end at 4 s and is started again at 14 s. */
    private static void slowEnd(History history, int asked) {
        history.add(14 * SECOND, "g1", "started", "pid", 7);
        history.add(14 * SECOND, "g1", "peer_joined", "peer", "g0", "by", "g0");
        history.add(14 * SECOND, "g1", "peer_joined", "peer", "g2", "by", "g2");
        asked(history, asked * SECOND, 1, 0, "", 100);
    }

    /** g1 is started at 5 s, knows the others at once, and serves only later; what is asked of it meanwhile fails. */
    private static void slow(History history, int serves, int asked) {
        history.add(5 * SECOND, "g1", "started", "pid", 7);
        history.add(5 * SECOND, "g1", "peer_joined", "peer", "g0", "by", "g0");
        history.add(5 * SECOND, "g1", "peer_joined", "peer", "g2", "by", "g2");
        history.add(serves * SECOND, "g1", "listening", "protocol", "peers");
        history.add(serves * SECOND, "g1", "listening", "protocol", "http");
        asked(history, asked * SECOND, 1, 0, "", 100);
    }

    @Test
    void processesAndViews() {
        assertEquals(List.of("no gateway crashes"), broken(List.of(), history -> history.add(5 * SECOND, "g1", "crashed", "status", 1)));
        assertEquals(List.of("all see all in the end", "nobody well is called gone"), broken(List.of(),
                history -> history.add(9 * SECOND, "g1", "peer_gone", "peer", "g2", "by", "g1")));
        assertEquals(List.of("all see all in the end"), broken(List.of(), history -> history.add(5 * SECOND, "g1", "peer_suspected", "peer", "g2", "by", "g1")));
        List<Fault> killed = List.of(new Fault(Kind.KILL, 4 * SECOND, 50 * SECOND, List.of(2), 0));
        assertEquals(List.of("a death is known"), broken(killed, history -> history.add(9 * SECOND, "g0", "peer_gone", "peer", "g2", "by", "g0")));
        assertEquals(List.of(), broken(killed, history -> {
            history.add(9 * SECOND, "g0", "peer_gone", "peer", "g2", "by", "g0");
            history.add(9 * SECOND, "g1", "peer_gone", "peer", "g2", "by", "g0");
        }));
    }

    @Test
    void theAgreedLog() {
        assertEquals(List.of(), broken(List.of(), history -> log(history, "g0 read a 1", "g1 read a 1", "g0 in a 1", "g0 read b 3", "g1 read b 3", "g2 read b 3", "g1 out c 0")));
        assertEquals(List.of("one decision at an index, and one index of a decision"), broken(List.of(), history -> log(history, "g0 read a 1", "g1 read b 1")));
        assertEquals(List.of("one decision at an index, and one index of a decision"), broken(List.of(), history -> log(history, "g0 read a 1", "g0 read a 2")));
        assertEquals(List.of("decisions are read in their order, each once"), broken(List.of(), history -> log(history, "g0 read a 2", "g0 read b 1")));
        assertEquals(List.of("what was said to be out is out"), broken(List.of(), history -> log(history, "g0 out a 0", "g1 read a 1")));
        assertEquals(List.of("what was said to be in is in, there"), broken(List.of(), history -> log(history, "g0 in a 1", "g1 read a 2")));
        assertEquals(List.of("what was said to be in is in, there"), broken(List.of(), history -> log(history, "g0 in a 1", "g1 read b 1")));
        assertEquals(List.of("what was said to be in is read by all"), broken(List.of(),
                history -> log(history, "g0 in b 2", "g1 read a 1", "g1 read c 3")));
    }

    private static void log(History history, String... words) {
        for (int i = 0; i < words.length; i++) {
            String[] word = words[i].split(" ");
            history.add(10 * SECOND + i, word[0], "agreed_" + word[1], "id", word[2], "index", word[3], "ids", word[3] + "=" + word[2]);
        }
    }

    /** A plan that is written down is the same when it is read. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aPlanIsPlayedAgainAsItWas(long seed, @TempDir Path folder) throws IOException {
        Path file = folder.resolve("plan.toml");
        Files.writeString(file, "gateways = 5\nseconds = 40\ndrawn = 12\nseed = " + seed + "\n");
        ChaosPlan plan = ChaosPlan.read(file, null).plan();
        assertTrue(plan.faults().size() >= 8);
        Files.writeString(file, plan.toml());
        ChaosPlan again = ChaosPlan.read(file, null).plan();
        assertEquals(plan.toml(), again.toml());
        assertEquals(plan.faults().size(), again.faults().size());
        Files.writeString(file, "gateways = 12\nsecond = 3\n[[fault]]\nkind = \"cutt\"\nfrom = \"1s\"\n");
        List<String> problems = ChaosPlan.read(file, null).problems();
        assertTrue(problems.size() >= 4 && problems.toString().contains("did you mean seconds?"), problems.toString());
    }
}
