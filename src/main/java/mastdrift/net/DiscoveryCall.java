package mastdrift.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Set;
import mastdrift.engine.Member;

/**
 * Channel handler of one call to discovery. The response to a fetch is one list; the response to a watch is one list or
 * change a line for as long as the call stays open.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> {

    private static final int MAX_LINE_BYTES = 4 << 20;
    private static final Set<HttpResponseStatus> REFUSALS = Set.of(HttpResponseStatus.SERVICE_UNAVAILABLE,
            HttpResponseStatus.TOO_MANY_REQUESTS);
    private static final byte[] TARGETS_KEY = "\"targets\"".getBytes(StandardCharsets.US_ASCII);

    /** What happens to the lists that are received. */
    private enum State {
        /** They are applied. */
        ACTIVE,
        /**
         * Another call has replaced this one, or the request was cancelled: lists that had arrived unread are applied
         * if they are newer than the current one.
         */
        CLOSING,
        /** A list was rejected: of the input behind it, only drains and removals are applied. */
        REJECTED
    }

    /** The owner of the call, which is notified of its events. */
    interface Owner {
        /** Whether the call is still one of the owner's open calls. */
        boolean isOpen(DiscoveryCall call);

        /** The response has started. */
        void responseStarted(DiscoveryCall call);

        /** A line has arrived, possibly an empty one: the call is alive. */
        void lineReceived(DiscoveryCall call);

        /** The response to a fetch has arrived in full. */
        void responseCompleted(DiscoveryCall call);

        /** A list was rejected: the call is to be closed once its unread input has been read. */
        void listRejected(DiscoveryCall call);

        /**
         * Part of a list that may be newer than the current one has arrived without its end ({@code present}), or no
         * such part is left.
         */
        void partialListChanged(boolean present);

        /** Input that had been received was lost by a fault of this process. */
        void inputLost(DiscoveryCall call);

        /** The connection has closed. */
        void connectionClosed(DiscoveryCall call, String cause);

        /** Something happened to the call that is worth a log line. */
        void logEvent(String line);

        /** The call starts, or has finished, processing input. */
        void readingChanged(boolean starts);
    }

    private final int number;
    private final Owner owner;
    private final boolean watching;
    private final HostListIntake intake;
    private final JsonLines scanner = new JsonLines();
    private ChannelHandlerContext context;
    private ByteBuf buffer;
    private int scannedBytes;  // bytes of the buffer that the scanner has seen
    private int lineStart;  // offset within the current value
    private int entryStart;  // offset within the current value: end of the last entry examined
    private final ArrayDeque<Integer> pendingEntryEnds = new ArrayDeque<>();  // offsets of entries not examined yet
    private State state = State.ACTIVE;
    private long coveredVersion = Long.MIN_VALUE;  // this call repeats what another one has delivered up to it
    private long lastVersion = Long.MIN_VALUE;  // version of the last list received on this call
    private String closeReason = "the connection ended";
    private boolean refused;
    private long connectedAtNanos;
    private long incompleteSinceNanos;  // when the first bytes of the incomplete list arrived; 0 if there is none
    private boolean partialListPresent;  // the incomplete list may be newer than the current one
    private int linesReceived;  // including empty ones

    DiscoveryCall(int number, Owner owner, boolean watching, HostListIntake intake) {
        this.number = number;
        this.owner = owner;
        this.watching = watching;
        this.intake = intake;
    }

    /**
     * The call has been replaced or cancelled: input that has already arrived on it still counts as delivered, nothing
     * after that.
     */
    void markClosing(String reason) {
        setCloseReason(reason);
        if (state == State.ACTIVE) {
            state = State.CLOSING;
        }
    }

    /** Sets the reason for closing that is logged, unless a list was rejected before. */
    void setCloseReason(String reason) {
        closeReason = state == State.REJECTED ? closeReason : reason;
    }

    /** Another call has delivered all up to the current version. */
    void markCovered() {
        coveredVersion = intake.currentVersion();
    }

    /** Whether a line has been received, possibly an empty one. */
    boolean hasReceivedLine() {
        return linesReceived > 0;
    }

    /** Whether discovery has answered that it does not take the call now. */
    boolean wasRefused() {
        return refused;
    }

    /** Whether part of a list that may be newer than the current one has arrived without its end. */
    boolean hasPartialList() {
        return partialListPresent;
    }

    private boolean mayBeNewerList() {
        return PartialHostList.mayBeNewer(copyBytes(0, Math.min(buffer.readableBytes(),
                PartialHostList.MAX_HEAD_BYTES)), intake.currentVersion());
    }

    io.netty.channel.Channel channel() {
        return context.channel();
    }

    /** Says what was missing when the call timed out after so many microseconds. */
    String describeTimeout(long micros) {
        return "expected a line within " + micros / 1_000 + " ms, found "
                + (buffer.isReadable() ? buffer.readableBytes() + " bytes of one" : "none");
    }

    @Override
    public void handlerAdded(ChannelHandlerContext channelContext) {
        context = channelContext;
        buffer = channelContext.alloc().heapBuffer();
    }

    @Override
    public void channelActive(ChannelHandlerContext channelContext) {
        connectedAtNanos = System.nanoTime();
        logEvent((watching ? "watch" : "fetch") + " from " + intake.watchFromVersion() + " connected");
        channelContext.fireChannelActive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext channelContext) {
        buffer.release();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channelContext, HttpObject message) throws IOException {
        if (message.decoderResult().isFailure() || state == State.ACTIVE && !owner.isOpen(this)) {
            channelContext.close();
        } else if (message instanceof HttpResponse response && response.status().code() != 200) {
            refused = REFUSALS.contains(response.status());
            closeReason = "status " + response.status().code() + " after "
                    + (System.nanoTime() - connectedAtNanos) / 1_000_000 + " ms";
            channelContext.close();
        } else if (message instanceof HttpResponse) {
            owner.responseStarted(this);
        } else if (message instanceof HttpContent content) {
            buffer.discardReadBytes().writeBytes(content.content());
            owner.readingChanged(true);
            try {
                readResponse(message instanceof LastHttpContent);
                applyPartialWithdrawals();
                trackIncompleteList();
            } finally {
                owner.readingChanged(false);
            }
        }
    }

    private void logEvent(String event) {
        owner.logEvent("call " + number + " to discovery: " + event);
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    /**
     * Tells the owner when part of a list that may be newer arrives or is no longer there. Logs once that a list is
     * incomplete, and how long it took once it is complete.
     */
    private void trackIncompleteList() {
        boolean incomplete = buffer.isReadable();
        boolean mayBeNew = incomplete && mayBeNewerList();
        if (mayBeNew != partialListPresent) {
            partialListPresent = mayBeNew;
            owner.partialListChanged(mayBeNew);
        }
        if (incomplete && incompleteSinceNanos == 0) {
            incompleteSinceNanos = System.nanoTime();
            logEvent("incomplete list received, " + buffer.readableBytes() + " bytes so far");
        } else if (!incomplete && incompleteSinceNanos != 0) {
            logEvent("the incomplete list was completed after " + millisSince(incompleteSinceNanos) + " ms");
            incompleteSinceNanos = 0;
        }
    }

    private void readResponse(boolean complete) {
        if (watching) {
            readValues();
        } else if (complete) {
            readValue(buffer.readableBytes());
            if (state == State.ACTIVE) {
                owner.responseCompleted(this);
            }
        }
        if (buffer.readableBytes() > MAX_LINE_BYTES) {
            closeReason = "expected a line of " + MAX_LINE_BYTES + " bytes at most, found no end";
            context.close();
        } else if (complete) {
            context.close();
        }
    }

    private void readValues() {
        while (scannedBytes < buffer.readableBytes()) {
            switch (scanner.next(buffer.getByte(buffer.readerIndex() + scannedBytes++))) {
                case VALUE -> endValue();
                case OBJECT_LINE -> endObjectLine();
                case ENTRY -> pendingEntryEnds.add(scannedBytes);
                default -> {
                    if (buffer.getByte(buffer.readerIndex() + scannedBytes - 1) == '\n') {
                        lineStart = scannedBytes;
                    }
                }
            }
        }
    }

    private void endValue() {
        int length = scannedBytes;
        pendingEntryEnds.clear();
        entryStart = 0;
        scannedBytes = 0;
        lineStart = 0;
        readValue(length);
        if (state == State.ACTIVE) {
            owner.lineReceived(this);
        }
    }

    /** The line is either an entry of an indented list, or a list that follows a truncated one. */
    private void endObjectLine() {
        byte[] line = ByteBufUtil.getBytes(buffer, buffer.readerIndex() + lineStart, scannedBytes - lineStart);
        if (new String(line, StandardCharsets.ISO_8859_1).contains(new String(TARGETS_KEY,
                StandardCharsets.US_ASCII))) {
            reject("expected the rest of a list, found another list after " + lineStart + " bytes");
            applyPartialWithdrawals();
            buffer.skipBytes(lineStart);
            scannedBytes -= lineStart;
            scanner.reset();
            endValue();
        }
        lineStart = scannedBytes;
    }

    /**
     * Applies drains and removals of a list that is incomplete and may stay so: they are certain as soon as their entry
     * has arrived.
     */
    private void applyPartialWithdrawals() {
        Long version = pendingEntryEnds.isEmpty() ? null : PartialHostList.parseVersion(copyBytes(0,
                Math.min(buffer.readableBytes(), PartialHostList.MAX_HEAD_BYTES)));
        for (Integer entryEnd = pendingEntryEnds.poll(); entryEnd != null; entryEnd = pendingEntryEnds.poll()) {
            Member leaving = version == null || version < intake.currentVersion() ? null
                    : PartialHostList.parseLeavingEntry(copyBytes(entryStart, entryEnd));
            entryStart = entryEnd;
            if (leaving != null) {
                intake.withdraw(new HostList.ParseResult(new HostList(version, false, List.of(leaving)), null,
                        List.of(leaving), null));
            }
        }
    }

    private byte[] copyBytes(int from, int until) {
        return ByteBufUtil.getBytes(buffer, buffer.readerIndex() + from, until - from);
    }

    private void readValue(int length) {
        ByteBuf slice = buffer.readSlice(length);
        // the line feed may end a truncated value and is not part of it
        if (length > 0 && slice.getByte(length - 1) == '\n') {
            slice.writerIndex(length - 1);
        }
        byte[] value = ByteBufUtil.getBytes(slice);
        linesReceived++;
        if (new String(value, StandardCharsets.UTF_8).isBlank()) {
            return;
        }
        try {
            HostList.ParseResult parsed = HostListIntake.parse(value);
            logEvent("received version " + parsed.list().version());
            if (state == State.REJECTED) {
                intake.withdraw(parsed);
            } else if (!isRepeated(parsed.list().version())) {
                String fault = intake.apply(parsed);
                if (fault != null) {
                    reject(fault);
                }
            }
        } catch (JsonProcessingException | IllegalArgumentException | ArithmeticException e) {
            reject(e.getMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            reject(e.toString());
        }
    }

    /**
     * Whether another call has delivered this version already. A registry that was rolled back sends a version below
     * the last one of this call, which is no repetition.
     */
    private boolean isRepeated(long version) {
        boolean notOlder = version >= lastVersion;
        lastVersion = version;
        return state == State.CLOSING ? version < intake.currentVersion() : notOlder && version < coveredVersion;
    }

    private void reject(String fault) {
        if (state == State.REJECTED) {
            return;
        }
        boolean wasActive = state == State.ACTIVE;
        state = State.REJECTED;
        closeReason = "invalid response: " + fault;
        if (wasActive) {
            owner.listRejected(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext channelContext) {
        logEvent("closed " + millisSince(connectedAtNanos) + " ms after connecting, " + linesReceived
                + " lines received, " + closeReason
                + (buffer.isReadable() ? "; " + buffer.readableBytes()
                        + " bytes of an incomplete list, the first received " + millisSince(incompleteSinceNanos)
                        + " ms ago" : ""));
        owner.connectionClosed(this, closeReason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channelContext, Throwable fault) {
        closeReason = fault.toString();
        if (!(fault instanceof IOException || fault instanceof CodecException)) {
            logEvent("input was lost by " + fault);
            owner.inputLost(this);
        }
        channelContext.close();
    }
}
