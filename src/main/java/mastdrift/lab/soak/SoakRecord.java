package mastdrift.lab.soak;

import java.util.ArrayList;
import java.util.List;

/** What clients, servers, the registry and who plays recorded of one run. Times are in microseconds since its begin, by the monotonic clock. Written by many threads. */
final class SoakRecord {

    /** What a class of requests may be done with again. */
    enum Effect { SAFE, KEYED, UNSAFE }

    /** The registry has a change of a server from then on; {@code inService} or not, cold where it has just started. */
    record Listed(long version, String server, boolean inService, long at) { }

    /** The registry wrote to a gateway, by then to the last byte, that a server is out of service. */
    record Written(String gateway, String server, long at) { }

    /** A watch of a gateway was ended by the registry, or told nothing from then on. */
    record WatchLost(String gateway, boolean silent, long at) { }

    /** A call of a gateway was refused, reset, or could not be made. */
    record CallFailed(String gateway, long at) { }

    /** The registry could not be reached. */
    record Outage(long from, long until) { }

    /** A gateway was told that the registry has moved. */
    record Moved(String gateway, long at) { }

    /** A request came to a server, whole, with so much time told; {@code ran} where the server took it on. */
    record Arrival(String server, String request, String key, long expiresMillis, boolean ran, long at) { }

    /** How a request ended for its client. */
    enum End {
        SERVED, REFUSED, FAILED,
        /** Its client left first. */
        LEFT,
        /** Its connection ended, or the client stopped waiting, with no whole answer. */
        NONE,
        /** No connection could be made for it: it was not taken. */
        NOT_TAKEN
    }

    /** A request of a client: {@code gateway} names the process; {@code used} where its connection had carried others; {@code odd} says what was wrong with the answer. */
    record Asked(String id, String gateway, Effect effect, String key, long sentAt, long waits, boolean used, End end, long endedAt, String odd) { }

    /** A used connection of a client ended with no answer to what had been sent on it; the client sent that once more elsewhere. */
    record Crossed(String id, String gateway, long sentAt, long endedAt) { }

    /** A process of a gateway: when it was started, served first, was told to end, was killed and had ended; -1 for never. {@code planned} where it had its time before the kill. */
    static final class Run {
        final String name;
        final long startedAt;
        volatile long readyAt = -1;
        volatile long toldAt = -1;
        volatile long killedAt = -1;
        volatile long endedAt = -1;
        volatile boolean planned;
        volatile boolean meant;

        Run(String name, long startedAt) {
            this.name = name;
            this.startedAt = startedAt;
        }
    }

    /** A server's start: from then on it is cold. */
    record Started(String server, long at) { }

    /** By so much this side was late at that time. */
    record Late(long at, long micros) { }

    /** Idle clients filled the descriptors of a gateway. */
    record Crowd(String gateway, long from, long until) { }

    private final long began;
    final List<Listed> listed = synchronizedList();
    final List<Written> written = synchronizedList();
    final List<WatchLost> watchesLost = synchronizedList();
    final List<CallFailed> callsFailed = synchronizedList();
    final List<Outage> outages = synchronizedList();
    final List<Moved> moves = synchronizedList();
    final List<Arrival> arrivals = synchronizedList();
    final List<Asked> asked = synchronizedList();
    final List<Crossed> crossed = synchronizedList();
    final List<Run> runs = synchronizedList();
    final List<Started> starts = synchronizedList();
    final List<Late> late = synchronizedList();
    final List<Crowd> crowds = synchronizedList();

    private static <T> List<T> synchronizedList() {
        return java.util.Collections.synchronizedList(new ArrayList<>());
    }

    SoakRecord() {
        this(System.nanoTime());
    }

    private SoakRecord(long began) {
        this.began = began;
    }

    /** What has been recorded by now; processes go on with theirs. */
    SoakRecord copy() {
        SoakRecord copy = new SoakRecord(began);
        copyTo(listed, copy.listed);
        copyTo(written, copy.written);
        copyTo(watchesLost, copy.watchesLost);
        copyTo(callsFailed, copy.callsFailed);
        copyTo(outages, copy.outages);
        copyTo(moves, copy.moves);
        copyTo(arrivals, copy.arrivals);
        copyTo(asked, copy.asked);
        copyTo(crossed, copy.crossed);
        copyTo(runs, copy.runs);
        copyTo(starts, copy.starts);
        copyTo(late, copy.late);
        copyTo(crowds, copy.crowds);
        return copy;
    }

    private static <T> void copyTo(List<T> from, List<T> to) {
        synchronized (from) {
            to.addAll(from);
        }
    }

    /** Microseconds since the begin. */
    long now() {
        return (System.nanoTime() - began) / 1_000;
    }

    long at(long nanoTime) {
        return (nanoTime - began) / 1_000;
    }
}
