package mastdrift.lab.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mastdrift.lab.soak.SoakRecord.Arrival;
import mastdrift.lab.soak.SoakRecord.Asked;
import mastdrift.lab.soak.SoakRecord.Effect;
import mastdrift.lab.soak.SoakRecord.End;
import mastdrift.lab.soak.SoakRecord.Late;
import mastdrift.lab.soak.SoakRecord.Listed;
import mastdrift.lab.soak.SoakRecord.Run;

/**
 * Judges what was recorded of a run, by the rules as the platform's pages word them. Shares no code with the gateway. What the recording side was late by at an event is measured and
 * taken off that event; it widens no bound.
 */
final class SoakOracle {

    /** The rules and terms. */
    enum Rule { DRAIN, ANSWER, TWICE, GONE, DEADLINE, COLD, READY, CRASH }

    /** A rule that was broken, in words that name times and who. */
    record Breach(Rule rule, String what) { }

    /** Figures of the rules that settings tell, in microseconds; {@code coldMost} is how many requests a cold server bears in {@code fall} as it starts; {@code until} is the end of the run. */
    record Figures(boolean pushed, long grace, long window, long fall, int coldMost, long until) { }

    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long SLACK = 50 * MILLI;
    private static final long TOLD_WITHIN = 6 * SECOND;
    private static final long ENDED_COUNTS = 2 * SECOND;
    private static final long MOVED_COUNTS = 4 * SECOND;
    private static final long GONE_WITHIN = 100 * MILLI;
    private static final long DEADLINE_SLACK = 150 * MILLI;
    private static final long ANSWER_SLACK = SECOND / 2;
    private static final long READY_WITHIN = 10 * SECOND;
    private static final long LATE_LOOK = SECOND / 4;

    private final SoakRecord record;
    private final Figures figures;
    private final Map<String, Asked> byId = new HashMap<>();
    private final Map<String, SoakRecord.Crossed> crossedById = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();

    SoakOracle(SoakRecord record, Figures figures) {
        this.record = record;
        this.figures = figures;
        record.asked.forEach(asked -> byId.put(asked.id(), asked));
        record.crossed.forEach(crossed -> crossedById.put(crossed.id(), crossed));
    }

    /** All breaches. */
    List<Breach> judge() {
        record.arrivals.forEach(this::judgeArrival);
        record.asked.forEach(this::judgeAnswer);
        judgeEffects();
        judgeColdServers();
        judgeProcesses();
        return breaches;
    }

    private void breach(Rule rule, String what) {
        breaches.add(new Breach(rule, what));
    }

    /** By how much this side was late around a moment. */
    private long lateAt(long at) {
        long most = 0;
        for (Late late : record.late) {
            if (late.at() >= at - MILLI && late.at() - late.micros() <= at + MILLI || Math.abs(late.at() - at) <= LATE_LOOK) {
                most = Math.max(most, late.micros());
            }
        }
        return most;
    }

    private static String ms(long micros) {
        return micros / MILLI + " ms";
    }

    // ---- what comes to servers

    private void judgeArrival(Arrival arrival) {
        SoakRecord.Crossed crossed = crossedById.get(arrival.request());
        if (crossed != null && arrival.at() <= crossed.endedAt()) {
            judgeCrossed(arrival, crossed);
            return;
        }
        Asked asked = byId.get(arrival.request());
        if (asked == null) {
            breach(Rule.ANSWER, arrival.request() + " came to " + arrival.server() + ", and no client sent it");
            return;
        }
        long late = lateAt(arrival.at());
        judgeDrain(arrival, asked, late);
        if (asked.end() == End.LEFT && arrival.at() - late > asked.endedAt() + GONE_WITHIN) {
            breach(Rule.GONE, arrival.request() + " of " + asked.gateway() + " came to " + arrival.server() + " " + ms(arrival.at() - asked.endedAt()) + " after its client had left");
        }
        long left = asked.sentAt() + asked.waits() - (arrival.at() - late);
        if (arrival.expiresMillis() * MILLI > left + DEADLINE_SLACK + MILLI) {
            breach(Rule.DEADLINE, arrival.request() + " of " + asked.gateway() + " told " + arrival.server() + " " + arrival.expiresMillis() + " ms with " + ms(left) + " left");
        }
    }

    /** The end of a connection may cross a request that has not been read; one that has been is owed its answer. */
    private void judgeCrossed(Arrival arrival, SoakRecord.Crossed crossed) {
        Run run = run(crossed.gateway());
        boolean killed = run != null && run.killedAt >= 0 && !run.planned && crossed.endedAt() + ANSWER_SLACK >= run.killedAt;
        if (!killed) {
            breach(Rule.ANSWER, crossed.id() + " of " + crossed.gateway() + " came to " + arrival.server() + " and its connection ended with no answer at " + ms(crossed.endedAt()));
        }
    }

    private void judgeDrain(Arrival arrival, Asked asked, long late) {
        Listed end = endOfService(arrival);
        if (end == null) {
            return;
        }
        long told = told(asked.gateway(), arrival.server(), end.at(), arrival.at());
        long behind = arrival.at() - late - told;
        if (behind > figures.grace + SLACK) {
            breach(Rule.DRAIN, arrival.request() + " of " + asked.gateway() + " came to " + arrival.server() + " at " + ms(arrival.at()) + ", " + ms(behind)
                    + " after its end of service (listed at " + ms(end.at()) + ") had counted as told");
        }
    }

    /** The first word that a server is out of service, since it was last in service, as an arrival came; null where it is in service. */
    private Listed endOfService(Arrival arrival) {
        Listed end = null;
        for (Listed each : record.listed) {
            if (each.server().equals(arrival.server()) && each.at() <= arrival.at()) {
                end = each.inService() ? null : end == null ? each : end;
            }
        }
        return end;
    }

    /** When an end of service that was listed at {@code listed} counts as told to a process, as seen at {@code by}. */
    private long told(String gateway, String server, long listed, long by) {
        long told = reachableFrom(listed) + TOLD_WITHIN;
        for (SoakRecord.Written written : record.written) {
            if (written.gateway().equals(gateway) && written.server().equals(server) && written.at() >= listed) {
                told = Math.min(told, written.at());
            }
        }
        if (figures.pushed && !isSilent(gateway, listed)) {
            return Math.min(told, reachableFrom(listed) + movedSince(gateway, listed));
        }
        for (SoakRecord.WatchLost lost : record.watchesLost) {
            if (lost.gateway().equals(gateway) && lost.at() <= by && missed(lost, listed)) {
                told = Math.min(told, lost.silent() ? lost.at() + TOLD_WITHIN : lost.at() + ENDED_COUNTS);
            }
        }
        return Math.max(told, listed);
    }

    /** Whether a watch that was lost is the one that should have told a change, and no call has failed since. */
    private boolean missed(SoakRecord.WatchLost lost, long listed) {
        if (lost.silent()) {
            return listed <= lost.at() + TOLD_WITHIN && record.written.stream().noneMatch(each -> each.gateway().equals(lost.gateway()) && each.at() > lost.at() && each.at() < listed);
        }
        return lost.at() >= listed && record.callsFailed.stream().noneMatch(call -> call.gateway().equals(lost.gateway()) && call.at() >= lost.at() && call.at() <= lost.at() + ENDED_COUNTS);
    }

    private boolean isSilent(String gateway, long at) {
        return record.watchesLost.stream().anyMatch(lost -> lost.gateway().equals(gateway) && lost.silent() && lost.at() <= at && missed(lost, at));
    }

    private long movedSince(String gateway, long listed) {
        return record.moves.stream().filter(move -> move.gateway().equals(gateway) && move.at() + MOVED_COUNTS > listed && move.at() <= listed + MOVED_COUNTS)
                .mapToLong(move -> Math.max(0, move.at() + MOVED_COUNTS - listed)).max().orElse(0);
    }

    private long reachableFrom(long at) {
        long reachable = at;
        for (SoakRecord.Outage outage : record.outages) {
            if (outage.from() <= reachable + TOLD_WITHIN && reachable < outage.until()) {
                reachable = outage.until();
            }
        }
        return reachable;
    }

    // ---- what comes back to clients

    private Run run(String name) {
        return record.runs.stream().filter(run -> run.name.equals(name)).findFirst().orElse(null);
    }

    private void judgeAnswer(Asked asked) {
        if (!asked.odd().isEmpty()) {
            breach(Rule.ANSWER, asked.id() + " of " + asked.gateway() + ": " + asked.odd());
        }
        if (asked.end() == End.NONE && !mayEndUnanswered(asked)) {
            breach(Rule.ANSWER, asked.id() + " of " + asked.gateway() + ", sent at " + ms(asked.sentAt()) + " on a " + (asked.used() ? "used" : "new") + " connection, has no answer by "
                    + ms(asked.endedAt() - asked.sentAt()) + " of " + ms(asked.waits()));
        }
        boolean answered = asked.end() == End.SERVED || asked.end() == End.REFUSED || asked.end() == End.FAILED;
        long behind = asked.endedAt() - lateAt(asked.endedAt()) - asked.sentAt() - lateAt(asked.sentAt()) - asked.waits();
        if (answered && behind > ANSWER_SLACK) {
            breach(Rule.ANSWER, asked.id() + " of " + asked.gateway() + " was answered " + ms(behind) + " after its time");
        }
        if (asked.end() == End.SERVED && record.arrivals.stream().noneMatch(arrival -> arrival.ran() && arrival.request().equals(asked.id()))) {
            breach(Rule.ANSWER, asked.id() + " of " + asked.gateway() + " was served by nobody");
        }
    }

    /** A process that was killed outright owes nothing; one that had its time owes all that it had taken. A new connection may be shut unread in a crowd. */
    private boolean mayEndUnanswered(Asked asked) {
        Run run = run(asked.gateway());
        boolean killed = run != null && run.killedAt >= 0 && asked.endedAt() + ANSWER_SLACK >= run.killedAt;
        if (killed && !run.planned) {
            return true;
        }
        boolean afterTheEnd = run != null && run.endedAt >= 0 && asked.sentAt() + lateAt(asked.sentAt()) >= run.endedAt - 10 * MILLI;
        boolean crowded = !asked.used() && record.crowds.stream().anyMatch(crowd -> crowd.gateway().equals(asked.gateway()) && asked.endedAt() >= crowd.from() && asked.sentAt() <= crowd.until());
        return afterTheEnd || crowded;
    }

    // ---- effects

    private void judgeEffects() {
        Map<String, List<Arrival>> ranByRequest = new HashMap<>();
        Map<String, List<Arrival>> ranByKey = new HashMap<>();
        for (Arrival arrival : record.arrivals) {
            Asked asked = byId.get(arrival.request());
            if (asked == null || !arrival.ran()) {
                continue;
            }
            if (asked.effect() == Effect.UNSAFE) {
                ranByRequest.computeIfAbsent(arrival.request(), id -> new ArrayList<>()).add(arrival);
            } else if (asked.effect() == Effect.KEYED) {
                ranByKey.computeIfAbsent(arrival.request(), id -> new ArrayList<>()).add(arrival);
            }
        }
        ranByRequest.values().stream().filter(ran -> ran.size() > 1).forEach(ran -> breach(Rule.TWICE, ran.get(0).request() + " is unsafe to repeat and ran " + ran.size() + " times"));
        for (List<Arrival> ran : ranByKey.values()) {
            long span = ran.get(ran.size() - 1).at() - ran.get(0).at() - lateAt(ran.get(ran.size() - 1).at());
            if (span > figures.window) {
                breach(Rule.TWICE, ran.get(0).request() + " was sent again " + ms(span) + " after its first attempt, with a window of " + ms(figures.window));
            }
        }
        Set<String> refused = new HashSet<>();
        record.asked.stream().filter(asked -> asked.end() == End.REFUSED && asked.effect() == Effect.UNSAFE).forEach(asked -> refused.add(asked.id()));
        ranByRequest.keySet().stream().filter(refused::contains).forEach(id -> breach(Rule.TWICE, id + " is unsafe to repeat, ran, and was refused"));
    }

    // ---- slow start

    /** Requests to a server that has just started, over all gateways together, in any window of the length that settings name. */
    private void judgeColdServers() {
        for (SoakRecord.Started started : record.starts) {
            long[] at = record.arrivals.stream().filter(arrival -> arrival.server().equals(started.server()) && arrival.at() >= started.at() && arrival.at() < started.at() + 2 * figures.fall)
                    .mapToLong(Arrival::at).sorted().toArray();
            int bound = figures.coldMost + (int) ((figures.coldMost < 30 ? 3 : 2) * Math.sqrt(figures.coldMost)) + (figures.coldMost < 30 ? 3 : 2);
            for (int last = 0, first = 0; last < at.length; last++) {
                while (at[last] - at[first] > figures.fall) {
                    first++;
                }
                if (last - first + 1 > bound) {
                    breach(Rule.COLD, started.server() + ", started at " + ms(started.at()) + ", got " + (last - first + 1) + " requests within " + ms(figures.fall) + ", bears " + bound);
                    break;
                }
            }
        }
    }

    // ---- processes

    private void judgeProcesses() {
        List<Run> started = record.runs.stream().filter(run -> run.toldAt < 0 && run.killedAt < 0 || run.readyAt >= 0).toList();
        long slow = started.stream().filter(run -> (run.readyAt < 0 ? figures.until : run.readyAt) - run.startedAt > READY_WITHIN).count();
        if (slow * 10 > started.size()) {
            breach(Rule.READY, slow + " of " + started.size() + " processes were not ready within " + ms(READY_WITHIN));
        }
        record.runs.stream().filter(run -> run.endedAt >= 0 && !run.meant).forEach(run -> breach(Rule.CRASH, run.name + " ended by itself at " + ms(run.endedAt)));
    }
}
