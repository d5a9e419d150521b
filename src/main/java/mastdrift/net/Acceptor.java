package mastdrift.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import mastdrift.engine.RequestTracker;

/**
 * Observes and controls the accepts from the listen backlog of an {@link HttpFront}. By the platform's rules a
 * connection in the backlog has been taken, so its time is running: this knows since when a connection that is accepted
 * now may have waited there, pauses accepting as rarely and briefly as possible, and closes the listener only once the
 * backlog is empty. Used on the event loop's thread only, except for {@link #channel}.
 */
final class Acceptor extends ChannelInboundHandlerAdapter {

    /** Connections accepted in one turn of the event loop: more would delay everything else on the loop. */
    static final int MAX_ACCEPTS_PER_TURN = 16;
    // Pause after an accept that failed for lack of a local resource: an immediate retry would fail again.
    private static final long RETRY_DELAY_MILLIS = 10;
    private static final long LOG_INTERVAL_MICROS = 10_000_000;
    // A pause of this length may cost a client its answer.
    private static final long MIN_LOGGED_PAUSE_MICROS = 50_000;

    private final EventLoop loop;
    private final RequestTracker ledger;
    private final Runnable resourceExhausted;
    private final Consumer<String> log;
    private volatile Channel serverChannel;  // set before the first connection is accepted
    private boolean closed;
    private int acceptedInRead;
    private boolean backlogEmptied = true;  // whether the last read of the listen backlog emptied it
    private long lastAcceptTurn;  // turn of the last accept, or in which accepting resumed after a pause
    private long earliestArrivalMicros;
    private long failureLoggedAtMicros = -LOG_INTERVAL_MICROS;
    private long pausedAtMicros;
    private long pauseLoggedAtMicros = -LOG_INTERVAL_MICROS;

    /** {@code resourceExhausted} is called when an accept fails, perhaps for lack of a file descriptor. */
    Acceptor(EventLoop loop, RequestTracker ledger, Runnable resourceExhausted, Consumer<String> log) {
        this.loop = loop;
        this.ledger = ledger;
        this.resourceExhausted = resourceExhausted;
        this.log = log;
    }

    /** The listening channel; null before it is opened. */
    Channel channel() {
        return serverChannel;
    }

    /** The earliest time at which a connection that is accepted now may have arrived in the backlog. */
    long earliestArrivalMicros() {
        return earliestArrivalMicros;
    }

    /** Whether the listener has been opened and is closed again. */
    boolean isClosed() {
        return serverChannel != null && !serverChannel.isOpen();
    }

    /** Whether nobody can connect: the listener is closed, or hasn't been opened and won't be. */
    boolean isClosedForGood() {
        return closed && (serverChannel == null || !serverChannel.isOpen());
    }

    /** Closes the listener, or keeps one that is opened later from accepting. */
    void close() {
        closed = true;
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    /**
     * Closes the listener once the listen backlog is empty, then calls {@code onClosed}. Clients in the backlog count as
     * connected, and closing the listener would reset them. It is therefore closed only after the wait of a later turn
     * has found no new connection, or when {@code isTimeUp}.
     */
    void closeOnceBacklogIsEmpty(BooleanSupplier isTimeUp, Runnable onClosed) {
        closeOnceBacklogIsEmpty(ledger.turnNumber(), isTimeUp, onClosed);
    }

    private void closeOnceBacklogIsEmpty(long sinceTurn, BooleanSupplier isTimeUp, Runnable onClosed) {
        boolean backlogEmpty = ledger.turnNumber() > sinceTurn && lastAcceptTurn < ledger.turnNumber()
                && isBacklogEmpty() && !isPaused();
        if (backlogEmpty || ledger.turnNumber() == 0 || isTimeUp.getAsBoolean()) {
            close();
            onClosed.run();
        } else {
            loop.schedule(() -> closeOnceBacklogIsEmpty(sinceTurn, isTimeUp, onClosed), 1, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Whether the listen backlog was empty as of the last wait, not counting connections that have arrived since. That
     * is so if a read has emptied it, or if, after a read that accepted as many as one turn may, the wait of the next
     * turn found none.
     */
    private boolean isBacklogEmpty() {
        return backlogEmptied || ledger.turnNumber() > lastAcceptTurn + 1;
    }

    /** Whether accepting is paused. */
    boolean isPaused() {
        return !serverChannel.config().isAutoRead();
    }

    /** Accepts nobody until {@link #resume} is called. */
    void pause() {
        if (!isPaused()) {
            pausedAtMicros = ledger.now();
            serverChannel.config().setAutoRead(false);
        }
    }

    /** Ends a pause, if there is one. */
    void resume() {
        if (isPaused()) {
            backlogEmptied = false;  // the connections in the backlog may have arrived during the pause
            lastAcceptTurn = ledger.turnNumber();
            serverChannel.config().setAutoRead(true);
            logPause();
        }
    }

    private void logPause() {
        long now = ledger.now();
        if (now - pausedAtMicros >= MIN_LOGGED_PAUSE_MICROS && now - pauseLoggedAtMicros >= LOG_INTERVAL_MICROS) {
            pauseLoggedAtMicros = now;
            log.accept("accepting connections was paused for " + (now - pausedAtMicros) / 1_000 + " ms");
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        serverChannel = context.channel();
        if (closed) {
            serverChannel.close();
        }
    }

    /**
     * If a read does not empty the backlog, the connections found by the next read may have arrived before that read.
     */
    @Override
    public void channelRead(ChannelHandlerContext context, Object child) {
        if (acceptedInRead++ == 0 && isBacklogEmpty()) {
            earliestArrivalMicros = ledger.earliestArrivalAt();
        }
        lastAcceptTurn = ledger.turnNumber();
        context.fireChannelRead(child);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        backlogEmptied = acceptedInRead < MAX_ACCEPTS_PER_TURN && !isPaused();
        acceptedInRead = 0;
        context.fireChannelReadComplete();
    }

    /**
     * Handles a failed accept. A connection that its client aborted while it waited (ECONNABORTED) affects nobody else;
     * if descriptors or buffers are exhausted, accepting is retried soon. Netty by itself would not accept again for a
     * second.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (ledger.now() - failureLoggedAtMicros >= LOG_INTERVAL_MICROS) {
            failureLoggedAtMicros = ledger.now();
            log.accept("failed to accept a connection: " + cause);
        }
        if (!isPaused()) {
            resourceExhausted.run();
            pause();
            loop.schedule(this::resume, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
