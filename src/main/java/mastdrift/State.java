package mastdrift;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of one gateway's decision module: plain data. All decisions are made in {@link Balance}. Times are in
 * microseconds.
 */
final class State {

    private State() { }

    /** Statistics of the servers of one machine kind. */
    static final class KindStats {
        // sum over servers of sample count times 95th percentile; with the sums below, set anew by each refresh
        double latencySum;
        double sampleCount;
        double delivered;
        double warmServers;
        // requests a second that a warm server of the kind last served, a moving average
        double servedPerSecond;
        double cpuUse;
        // multiple of the share that servers of the kind get
        double sizeFactor = 1;
        int reportCount;

        void clearSums() {
            latencySum = sampleCount = delivered = warmServers = 0;
        }
    }

    /** What the module knows of one server of the list. */
    static final class Server {
        private static final long[] NO_TIMES = {};
        private static final double[] NO_SAMPLES = {};

        Balancer.Host host;
        KindStats kind;
        long[] sampledAt = NO_TIMES;  // allocated with the first sample: in a long list few servers have any
        // normalized latencies, or UNBOUNDED_LATENCY for a failure
        double[] sampleValues = NO_SAMPLES;
        int sampleCount;
        final List<Attempt> outstanding = new ArrayList<>(0);
        // 95th percentile, number of latencies and number of failures in the sample window
        double ownP95;
        int ownSampleCount;
        int ownFailures;
        // estimate of the normalized latency, resp_time(s)
        double respTime;
        // fraction of attempts that do not fail
        double servingFraction = 1;
        double share;
        boolean inServerSet;
        double reportedQueue;
        long queueReportedAt;
        double probeLatency;
        boolean probeOutstanding;
        long lastAnsweredAt;
        int unansweredAttempts;
        long lastSentAt;
        long lastDeliveredAt;
        double recentSends;
        long unansweredSince;
        boolean down;
        // 0 for a warm host
        long coldSince;
        long coldSpanMicros;
        double coldCredit;
        long creditUpdatedAt;
        int deliveredSinceRefresh;
        long overtakenBefore;  // attempts sent before this were overtaken by an answer and count as lost
        double shortestAnswerMicros = Double.MAX_VALUE;
        int answersSinceEstimate;
        double queueWaitMicros;
        long queueWaitSetAt;
        Server successor;  // the same host after a restart
    }

    /** One send of a request to a server. */
    static final class Attempt {
        final Server server;
        final int classIndex;
        final long sentAt;
        boolean outstanding = true;
        long connectionIdleMicros;  // idle time of the connection it was sent on, 0 for a new one or if unknown
        boolean neverRan;

        Attempt(Server server, int classIndex, long sentAt) {
            this.server = server;
            this.classIndex = classIndex;
            this.sentAt = sentAt;
        }
    }

    /** A request without a final answer. */
    static final class PendingRequest {
        final long id;
        final Balancer.RequestClass requestClass;
        final int classIndex;
        final long key;
        final boolean hasKey;
        final long arrivedAt;
        final long expiresAt;
        final List<Attempt> attempts = new ArrayList<>(2);
        final Balancer.Crossing crossing;
        long drawSeed;  // the key, or that of one of its parts where the key is split
        double recentKeyRequests;  // recent requests with this key, with exponential decay
        Balancer.Host groupHost;  // host whose group the request has to stay in, or null
        boolean streaming;
        boolean withinShare;  // within its tenant's share
        Balancer.Why refusalReason = Balancer.Why.HOSTS;

        PendingRequest(Balancer.Request request, Balancer.RequestClass requestClass, int classIndex, long key,
                long now) {
            id = request.id();
            this.requestClass = requestClass;
            this.classIndex = classIndex;
            this.key = key;
            hasKey = request.key() != null;
            crossing = request.crossing();
            arrivedAt = now;
            expiresAt = now + request.left();
        }
    }

    /** The server that last served a key, when that was, and the decayed number of recent requests with the key. */
    record Session(Server server, long lastUsedAt, double recentRequests) { }
}
