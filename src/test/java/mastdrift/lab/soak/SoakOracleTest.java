package mastdrift.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import mastdrift.lab.soak.SoakOracle.Figures;
import mastdrift.lab.soak.SoakOracle.Rule;
import mastdrift.lab.soak.SoakRecord.Arrival;
import mastdrift.lab.soak.SoakRecord.Asked;
import mastdrift.lab.soak.SoakRecord.CallFailed;
import mastdrift.lab.soak.SoakRecord.Effect;
import mastdrift.lab.soak.SoakRecord.End;
import mastdrift.lab.soak.SoakRecord.Late;
import mastdrift.lab.soak.SoakRecord.Listed;
import mastdrift.lab.soak.SoakRecord.Outage;
import mastdrift.lab.soak.SoakRecord.Run;
import mastdrift.lab.soak.SoakRecord.WatchLost;
import mastdrift.lab.soak.SoakRecord.Written;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each check catches a breach that was planted, and lets pass what is just within its bound. */
class SoakOracleTest {

    private static final long MS = 1_000;
    private static final long S = 1_000_000;
    private static final Figures ASKED = new Figures(false, 250 * MS, 1_500 * MS, 2 * S, 40, 60 * S);
    private static final Figures PUSHED = new Figures(true, 250 * MS, 1_500 * MS, 2 * S, 40, 60 * S);

    private final SoakRecord record = new SoakRecord();
    private final Run run = new Run("g0.0", 0);
    private int number;

    @BeforeEach
    void process() {
        run.readyAt = S;
        record.runs.add(run);
    }

    private List<Rule> broken(Figures figures) {
        return new SoakOracle(record, figures).judge().stream().map(SoakOracle.Breach::rule).toList();
    }

    private void assertBroken(Rule... rules) {
        assertEquals(List.of(rules), broken(ASKED));
    }

    private String asked(Effect effect, long sentAt, long waits, End end, long endedAt) {
        String id = "r" + number++;
        record.asked.add(new Asked(id, "g0.0", effect, null, sentAt, waits, true, end, endedAt, ""));
        return id;
    }

    private void arrives(String id, String server, long at, long expiresMillis, boolean ran) {
        record.arrivals.add(new Arrival(server, id, null, expiresMillis, ran, at));
    }

    /** A safe request that comes to a server and is served. */
    private void sentTo(String server, long at) {
        arrives(asked(Effect.SAFE, at - MS, S, End.SERVED, at + 10 * MS), server, at, 900, true);
    }

    private void drained(String server, long at) {
        record.listed.add(new Listed(1, server, true, 0));
        record.listed.add(new Listed(2, server, false, at));
    }

    @Test
    void aDrainThatWasWrittenCountsFromThen() {
        drained("s1", 10 * S);
        record.written.add(new Written("g0.0", "s1", 10 * S));
        sentTo("s1", 10 * S + 300 * MS);
        assertBroken();
        sentTo("s1", 10 * S + 301 * MS);
        assertBroken(Rule.DRAIN);
    }

    @Test
    void whatThisSideIsLateByIsTakenOffTheEvent() {
        drained("s1", 10 * S);
        record.written.add(new Written("g0.0", "s1", 10 * S));
        sentTo("s1", 10 * S + 340 * MS);
        record.late.add(new Late(10 * S + 341 * MS, 40 * MS));
        assertBroken();
    }

    @Test
    void aDrainThatNobodyWroteCountsAfterSixSecondsInWhichTheRegistryCouldBeReached() {
        drained("s1", 10 * S);
        record.outages.add(new Outage(11 * S, 13 * S));
        sentTo("s1", 19 * S + 300 * MS);
        assertBroken();
        sentTo("s1", 19 * S + 301 * MS);
        assertBroken(Rule.DRAIN);
    }

    @Test
    void aWatchThatEndsInPlaceOfADrainCountsAfterTwoSeconds() {
        drained("s1", 10 * S);
        record.watchesLost.add(new WatchLost("g0.0", false, 10 * S + 10 * MS));
        sentTo("s1", 12 * S + 310 * MS);
        assertBroken();
        sentTo("s1", 12 * S + 312 * MS);
        assertBroken(Rule.DRAIN);
        record.callsFailed.add(new CallFailed("g0.0", 11 * S));
        assertBroken();
    }

    @Test
    void aSilentWatchCountsSixSecondsAfterItFellSilent() {
        record.watchesLost.add(new WatchLost("g0.0", true, 8 * S));
        drained("s1", 10 * S);
        sentTo("s1", 14 * S + 300 * MS);
        assertBroken();
        sentTo("s1", 14 * S + 301 * MS);
        assertBroken(Rule.DRAIN);
    }

    @Test
    void whatAnAgentHasCountsAtOnce() {
        drained("s1", 10 * S);
        sentTo("s1", 10 * S + 300 * MS);
        assertEquals(List.of(), broken(PUSHED));
        sentTo("s1", 10 * S + 301 * MS);
        assertEquals(List.of(Rule.DRAIN), broken(PUSHED));
    }

    @Test
    void whoIsBackInServiceMayBeSentTo() {
        drained("s1", 10 * S);
        record.written.add(new Written("g0.0", "s1", 10 * S));
        record.listed.add(new Listed(3, "s1", true, 11 * S));
        sentTo("s1", 12 * S);
        assertBroken();
    }

    @Test
    void whoIsLeftWithoutAnAnswerHasLostIt() {
        asked(Effect.SAFE, 2 * S, S, End.NONE, 2 * S + 10 * MS);
        assertBroken(Rule.ANSWER);
    }

    @Test
    void aProcessThatWasKilledOutrightOwesNothingAndOneThatHadItsTimeOwesAll() {
        asked(Effect.SAFE, 5 * S, S, End.NONE, 5 * S + 200 * MS);
        run.meant = true;
        run.killedAt = 5 * S + 100 * MS;
        run.endedAt = 5 * S + 150 * MS;
        assertBroken();
        run.planned = true;
        assertBroken(Rule.ANSWER);
    }

    @Test
    void anAnswerIsOwedInTime() {
        arrives(asked(Effect.SAFE, 2 * S, S, End.SERVED, 3 * S + 500 * MS), "s1", 2 * S, 1_000, true);
        assertBroken();
        asked(Effect.SAFE, 2 * S, S, End.FAILED, 3 * S + 501 * MS);
        assertBroken(Rule.ANSWER);
    }

    @Test
    void anAnswerIsAServersOwn() {
        asked(Effect.SAFE, 2 * S, S, End.SERVED, 2 * S + 10 * MS);
        assertBroken(Rule.ANSWER);
    }

    @Test
    void aRequestThatWasReadIsNotCrossedByAnEnd() {
        String id = asked(Effect.SAFE, 2 * S + 100 * MS, S, End.REFUSED, 2 * S + 200 * MS);
        record.crossed.add(new SoakRecord.Crossed(id, "g0.0", 2 * S, 2 * S + 50 * MS));
        assertBroken();
        arrives(id, "s1", 2 * S + 10 * MS, 900, true);
        assertBroken(Rule.ANSWER);
    }

    @Test
    void whatIsUnsafeRunsOnce() {
        String id = asked(Effect.UNSAFE, 2 * S, S, End.SERVED, 2 * S + 100 * MS);
        arrives(id, "s1", 2 * S, 900, false);
        arrives(id, "s2", 2 * S + 10 * MS, 900, true);
        assertBroken();
        arrives(id, "s3", 2 * S + 20 * MS, 900, true);
        assertBroken(Rule.TWICE);
    }

    @Test
    void whatIsUnsafeAndRanIsNotRefused() {
        arrives(asked(Effect.UNSAFE, 2 * S, S, End.REFUSED, 2 * S + 100 * MS), "s1", 2 * S, 900, true);
        assertBroken(Rule.TWICE);
    }

    @Test
    void whatIsKeyedIsSentAgainWithinItsWindow() {
        String id = asked(Effect.KEYED, 2 * S, 3 * S, End.SERVED, 4 * S);
        arrives(id, "s1", 2 * S, 2_900, true);
        arrives(id, "s2", 3 * S + 500 * MS, 1_400, true);
        assertBroken();
        arrives(id, "s3", 3 * S + 501 * MS, 1_400, true);
        assertBroken(Rule.TWICE);
    }

    @Test
    void nothingBeginsForWhoHasLeft() {
        String id = asked(Effect.SAFE, 2 * S, S, End.LEFT, 2 * S + 100 * MS);
        arrives(id, "s1", 2 * S + 200 * MS, 700, true);
        assertBroken();
        arrives(id, "s1", 2 * S + 201 * MS, 700, true);
        assertBroken(Rule.GONE);
    }

    @Test
    void aServerIsToldNoMoreTimeThanItsClientHas() {
        String id = asked(Effect.SAFE, 2 * S, S, End.SERVED, 2 * S + 600 * MS);
        arrives(id, "s1", 2 * S + 500 * MS, 650, true);
        assertBroken();
        arrives(id, "s1", 2 * S + 500 * MS, 652, true);
        assertBroken(Rule.DEADLINE);
    }

    @Test
    void aColdServerBearsSoMuch() {
        record.starts.add(new SoakRecord.Started("s1", 5 * S));
        for (int i = 0; i < 54; i++) {  // 40, two roots of 40 and two
            sentTo("s1", 5 * S + i * 10 * MS);
        }
        assertBroken();
        sentTo("s1", 5 * S + 600 * MS);
        assertBroken(Rule.COLD);
    }

    @Test
    void nineInTenAreReadyInTenSeconds() {
        for (int i = 1; i < 10; i++) {
            Run other = new Run("g" + i + ".0", 0);
            other.readyAt = S;
            record.runs.add(other);
        }
        run.readyAt = 10 * S + 1;
        assertBroken();
        record.runs.get(1).readyAt = 10 * S + 1;
        assertBroken(Rule.READY);
    }

    @Test
    void whoStartedJustAheadOfTheEndHasItsTime() {
        record.runs.add(new Run("g1.0", 51 * S));
        assertBroken();
        record.runs.add(new Run("g2.0", 49 * S));
        assertBroken(Rule.READY);
    }

    @Test
    void aProcessThatEndsByItselfHasCrashed() {
        run.endedAt = 5 * S;
        assertBroken(Rule.CRASH);
    }
}
