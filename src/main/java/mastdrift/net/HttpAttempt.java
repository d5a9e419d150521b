package mastdrift.net;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.function.LongSupplier;
import mastdrift.Balancer.Outcome;
import mastdrift.engine.Endpoint;
import mastdrift.engine.Timers;
import mastdrift.engine.Transport;

/** One send: its message until it is written, its time, and who hears of its end, exactly once. On the loop's thread. */
final class HttpAttempt implements Transport.Attempt {

    /** Hears how an attempt ended, exactly once; the answer is there where the endpoint gave one. */
    interface Listener {
        void ended(Outcome outcome, FullHttpResponse answer);

        /** Whether anybody waits for it: what nobody waits for doesn't leave. */
        default boolean wanted() {
            return true;
        }

        /** A connection for it was opened. */
        default void connected() { }

        /** So many bytes passed for it, told ahead of its end where bytes are counted. */
        default void passed(long sent, long received) { }
    }

    // The slack of what an endpoint is told is as long as a hold-up behind this clock; a request may have stood unread for a moment besides.
    private static final long UNSEEN = 20_000;

    private final Endpoint endpoint;
    private final FullHttpRequest message;
    private final Listener listener;
    private final long endsAt;
    private final long leaveBy;
    private Timers.Timer timeout;
    private Timers.Timer stall;
    private Channel channel;  // that carries it, or is dialled for it
    private EndpointConnection connection;  // once it is sending
    private boolean written;
    private boolean over;

    /** Times in microseconds of the clock; takes over the message. */
    HttpAttempt(Endpoint endpoint, FullHttpRequest message, LongSupplier clock, long timeout, long leaveWithin, Listener listener) {
        this.endpoint = endpoint;
        this.message = message;
        this.listener = listener;
        long now = clock.getAsLong();
        endsAt = now + timeout;
        leaveBy = now + leaveWithin;
    }

    void startTimeout(Timers timers, long micros) {
        timeout = timers.after(micros, this::expire);
    }

    /** From its first bytes on an answer may take so long to be whole. */
    void startStall(Timers timers, long micros) {
        if (stall == null) {
            stall = timers.after(micros, () -> stop(Outcome.DROPPED));
        }
    }

    Endpoint endpoint() {
        return endpoint;
    }

    FullHttpRequest message() {
        return message;
    }

    boolean isOver() {
        return over;
    }

    /** Whether its last byte has left. */
    boolean isWritten() {
        return written;
    }

    boolean isWanted() {
        return listener.wanted();
    }

    boolean isTooLate(long now) {
        return now >= leaveBy;
    }

    /** For how long its endpoint is told that it is waited for. */
    long millisLeft(long now) {
        return Math.max(1, (endsAt - now - UNSEEN) / 1_000);
    }

    void connected() {
        listener.connected();
    }

    void carriedBy(Channel by) {
        channel = by;
    }

    void sentOn(EndpointConnection by) {
        connection = by;
    }

    void written() {
        written = true;
    }

    void passed(long sent, long received) {
        listener.passed(sent, received);
    }

    /** Stops waiting: the connection closes, by which the endpoint hears of it. */
    @Override
    public void cancel() {
        stop(Outcome.REVOKED);
    }

    private void expire() {
        stop(connection != null ? Outcome.EXPIRED : Outcome.DIAL_FAILED);
    }

    private void stop(Outcome outcome) {
        if (!over) {
            end(outcome, null);
            channel.close();
        }
    }

    void end(Outcome outcome, FullHttpResponse answer) {
        if (over) {
            return;
        }
        over = true;
        if (timeout != null) {
            timeout.cancel();
        }
        if (stall != null) {
            stall.cancel();
        }
        if (connection == null) {
            message.release();
        } else {
            connection.tellBytes(this);
        }
        listener.ended(outcome, answer);
    }
}
