package mastdrift.net;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.function.LongSupplier;
import mastdrift.Balancer.Outcome;
import mastdrift.engine.Endpoint;
import mastdrift.engine.Timers;
import mastdrift.engine.Transport;

/**
 * One send of a request to an endpoint: owns the message until it is written, runs the timeouts, and reports the end to
 * its listener exactly once. Used on the event loop's thread only.
 */
final class HttpAttempt implements Transport.Attempt {

    /** Receives the end of an attempt, exactly once; the answer is null where the endpoint gave none. */
    interface Listener {
        void ended(Outcome outcome, FullHttpResponse answer);

        /** Whether anybody still waits for the outcome; otherwise the request is not sent. */
        default boolean isWanted() {
            return true;
        }

        /** A connection was opened for the attempt. */
        default void connected() { }

        /** Numbers of bytes transferred for the attempt; called before its end where bytes are counted. */
        default void bytesTransferred(long sent, long received) { }
    }

    // Subtracted from the remaining time that an endpoint is told. The protocol allows for a hold-up after this clock
    // was read; the client's request may in addition have been unread in its socket for a moment.
    private static final long UNREAD_ALLOWANCE_MICROS = 20_000;

    private final Endpoint endpoint;
    private final FullHttpRequest message;
    private final Listener listener;
    private final long expiresAtMicros;
    private final long sendByMicros;
    private Timers.Timer timeoutTimer;
    private Timers.Timer stallTimer;
    private Channel channel;  // the one that carries the attempt, or that is being dialled for it
    private EndpointConnection connection;  // set once the message is being written
    private boolean written;
    private boolean ended;

    /** Takes over the message; durations are in microseconds of the clock. */
    HttpAttempt(Endpoint endpoint, FullHttpRequest message, LongSupplier clock, long timeoutMicros,
            long sendWithinMicros, Listener listener) {
        this.endpoint = endpoint;
        this.message = message;
        this.listener = listener;
        long now = clock.getAsLong();
        expiresAtMicros = now + timeoutMicros;
        sendByMicros = now + sendWithinMicros;
    }

    void startTimeout(Timers timers, long micros) {
        timeoutTimer = timers.after(micros, this::expire);
    }

    /** Bounds the time from the first bytes of an answer to its end. */
    void startStallTimeout(Timers timers, long micros) {
        if (stallTimer == null) {
            stallTimer = timers.after(micros, () -> stop(Outcome.DROPPED));
        }
    }

    Endpoint endpoint() {
        return endpoint;
    }

    FullHttpRequest message() {
        return message;
    }

    boolean isEnded() {
        return ended;
    }

    /** Whether the last byte of the message has been written to the socket. */
    boolean isWritten() {
        return written;
    }

    boolean isWanted() {
        return listener.isWanted();
    }

    boolean isPastSendTime(long now) {
        return now >= sendByMicros;
    }

    /** The remaining time that the endpoint is told, in milliseconds. */
    long remainingMillis(long now) {
        return Math.max(1, (expiresAtMicros - now - UNREAD_ALLOWANCE_MICROS) / 1_000);
    }

    void notifyConnected() {
        listener.connected();
    }

    void setChannel(Channel newChannel) {
        channel = newChannel;
    }

    void setConnection(EndpointConnection newConnection) {
        connection = newConnection;
    }

    void markWritten() {
        written = true;
    }

    void reportBytes(long sent, long received) {
        listener.bytesTransferred(sent, received);
    }

    /** Stops waiting and closes the connection, which tells the endpoint of the cancellation. */
    @Override
    public void cancel() {
        stop(Outcome.REVOKED);
    }

    private void expire() {
        stop(connection != null ? Outcome.EXPIRED : Outcome.DIAL_FAILED);
    }

    private void stop(Outcome outcome) {
        if (!ended) {
            end(outcome, null);
            channel.close();
        }
    }

    void end(Outcome outcome, FullHttpResponse answer) {
        if (ended) {
            return;
        }
        ended = true;
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
        if (stallTimer != null) {
            stallTimer.cancel();
        }
        if (connection == null) {
            message.release();
        } else {
            connection.reportBytes(this);
        }
        listener.ended(outcome, answer);
    }
}
