package mastdrift.engine;

import java.util.List;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;

/** Connections to the hosts of one pool. Carries out each send on the host that it is told, once, and says how that ended;
    it neither tries again nor sends elsewhere. All on the loop's thread. */
public interface Transport {

    /** Hears how a send ended, exactly once, possibly before {@link Transport#send} returns. */
    interface Ended {
        /** The answer is null where the host gave none. */
        void ended(Outcome outcome, ResponseMessage answer, LoadReport report);

        /** Whether anybody waits for what comes of it. Asked right before its first byte leaves, behind all else but {@link Endpoint#maySend}. */
        default boolean wanted() {
            return true;
        }

        /** A step ahead of the end has come about that this program may have noticed late: a connection, say. */
        default void step() { }

        /** So many bytes passed the socket for it in all; told ahead of its end by a transport that counts. */
        default void passed(long sent, long received) { }
    }

    /** Hears how a probe ended, exactly once. */
    interface Probed {
        void probed(Outcome outcome, LoadReport report);

        /** As for a send. */
        default void passed(long sent, long received) { }
    }

    /** Hears of bytes that passed a host's socket and belong to no send. */
    interface Strays {
        void stray(String uid, long sent, long received);
    }

    /** Bytes are to be counted: to be called before anything is sent. */
    default void count(Strays strays) { }

    /** A send that may be out. */
    interface Attempt {
        /** Stops waiting; the outcome is REVOKED unless there is one already. */
        void cancel();
    }

    /** Sends the call to an endpoint and waits for {@code timeout} microseconds. A timeout of 0 or less gives UNUSED; so does, where its first
        byte could leave, an endpoint that {@link Endpoint#maySend} rules out, what has waited for {@code leaveWithin} microseconds, and what is not
        {@link Ended#wanted} any more. */
    Attempt send(Endpoint to, RequestMessage call, long timeout, long leaveWithin, Ended ended);

    /** Checks an endpoint. */
    void probe(Endpoint at, Probed probed);

    /** The list, all of it or what changed, is in force: connections to endpoints that may be sent nothing any more close once idle. */
    void update(boolean all, List<Member> members);

    /** Closes idle connections to a host. */
    void closeIdle(String uid);

    /** Ends for good: idle connections close, and nothing new is sent. */
    void close();
}
