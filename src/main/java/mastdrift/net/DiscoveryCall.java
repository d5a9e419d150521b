package mastdrift.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import mastdrift.engine.Member;

/**
 * Channel handler of one call to discovery. The response to a fetch is one list; the response to a watch is one list or
 * change a line for as long as the call stays open.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> {

    private static final int LINE_MOST = 4 << 20;
    private static final byte[] LIST_KEY = "\"targets\"".getBytes(StandardCharsets.US_ASCII);

    /** What happens to the lists that are received. */
    private enum Standing {
        /** They are applied. */
        CURRENT,
        /**
         * Another call has replaced this one, or the request was cancelled: lists that had arrived unread are applied
         * if they are newer than the current one.
         */
        ENDING,
        /** A list was rejected: of the input behind it, only drains and removals are applied. */
        REFUSED
    }

    /** The owner of the call, which is notified of its events. */
    interface Owner {
        /** Whether the call is still one of the owner's open calls. */
        boolean counts(DiscoveryCall call);

        /** The response has started. */
        void begun(DiscoveryCall call);

        /** A line has arrived, possibly an empty one: the call is alive. */
        void lineCame(DiscoveryCall call);

        /** The response to a fetch has arrived in full. */
        void answered(DiscoveryCall call);

        /** A list was rejected: the call is to be closed once its unread input has been read. */
        void refused(DiscoveryCall call);

        /**
         * Part of a list that may be newer than the current one has arrived without its end ({@code present}), or no
         * such part is left.
         */
        void unfinished(boolean begins);

        /** The connection has closed. */
        void ended(DiscoveryCall call, String cause);

        /** Something happened to the call that is worth a log line. */
        void noted(String line);

        /** The call starts, or has finished, processing input. */
        void reading(boolean begins);
    }

    private final int number;
    private final Owner owner;
    private final boolean watching;
    private final ListIntake intake;
    private final JsonLines lines = new JsonLines();
    private ChannelHandlerContext context;
    private ByteBuf text;
    private int looked;  // bytes of the buffer that the scanner has seen
    private int lineBegin;  // offset within the current value
    private int entryBegin;  // offset within the current value: end of the last entry examined
    private final ArrayDeque<Integer> entryEnds = new ArrayDeque<>();  // offsets of entries not examined yet
    private Standing standing = Standing.CURRENT;
    private long covered = Long.MIN_VALUE;  // latest version received on another call; this call repeats all up to it
    private long told = Long.MIN_VALUE;  // version of the last list received on this call
    private String cause = "the connection ended";
    private long upSince;
    private long listBegan;  // when the first bytes of the incomplete list arrived; 0 if there is none
    private boolean newsBegan;  // the incomplete list may be newer than the current one
    private int lists;  // including empty ones

    DiscoveryCall(int number, Owner owner, boolean watching, ListIntake intake) {
        this.number = number;
        this.owner = owner;
        this.watching = watching;
        this.intake = intake;
    }

    /**
     * The call has been replaced or cancelled: input that has already arrived on it still counts as delivered, nothing
     * after that.
     */
    void end(String why) {
        endFor(why);
        if (standing == Standing.CURRENT) {
            standing = Standing.ENDING;
        }
    }

    /** Sets the reason for closing that is logged, unless a list was rejected before. */
    void endFor(String why) {
        cause = standing == Standing.REFUSED ? cause : why;
    }

    /** Another call has delivered all up to the current version. */
    void cover() {
        covered = intake.version();
    }

    /** Whether a line has been received, possibly an empty one. */
    boolean hasTold() {
        return lists > 0;
    }

    /** Whether part of a list that may be newer than the current one has arrived without its end. */
    boolean isUnfinished() {
        return newsBegan;
    }

    private boolean mayBeNews() {
        return PartOfList.mayBeNews(bytes(0, Math.min(text.readableBytes(), PartOfList.HEAD_MOST)), intake.version());
    }

    io.netty.channel.Channel channel() {
        return context.channel();
    }

    /** Says what was missing when the call timed out after so many microseconds. */
    String lacks(long micros) {
        return "expected a line within " + micros / 1_000 + " ms, found " + (text.isReadable() ? text.readableBytes() + " bytes of one" : "none");
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        text = added.alloc().heapBuffer();
    }

    @Override
    public void channelActive(ChannelHandlerContext given) {
        upSince = System.nanoTime();
        note((watching ? "watch" : "fetch") + " from " + intake.askFrom() + " connected");
        given.fireChannelActive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext removed) {
        text.release();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext given, HttpObject part) throws IOException {
        if (part.decoderResult().isFailure() || standing == Standing.CURRENT && !owner.counts(this)) {
            given.close();
        } else if (part instanceof HttpResponse response && response.status().code() != 200) {
            cause = "status " + response.status().code() + " after " + (System.nanoTime() - upSince) / 1_000_000 + " ms";
            given.close();
        } else if (part instanceof HttpResponse) {
            owner.begun(this);
        } else if (part instanceof HttpContent content) {
            text.discardReadBytes().writeBytes(content.content());
            owner.reading(true);
            try {
                read(part instanceof LastHttpContent);
                heedDrains();
                noteUnfinished();
            } finally {
                owner.reading(false);
            }
        }
    }

    private void note(String what) {
        owner.noted("call " + number + " to discovery: " + what);
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    /** Logs once that a list is incomplete, and how long it took once it is complete. */
    private void noteUnfinished() {
        boolean unfinished = text.isReadable();
        boolean news = unfinished && mayBeNews();
        if (news != newsBegan) {
            newsBegan = news;
            owner.unfinished(news);
        }
        if (unfinished && listBegan == 0) {
            listBegan = System.nanoTime();
            note("incomplete list received, " + text.readableBytes() + " bytes so far");
        } else if (!unfinished && listBegan != 0) {
            note("the incomplete list was completed after " + millisSince(listBegan) + " ms");
            listBegan = 0;
        }
    }

    private void read(boolean whole) {
        if (watching) {
            readValues();
        } else if (whole) {
            take(text.readableBytes());
            if (standing == Standing.CURRENT) {
                owner.answered(this);
            }
        }
        if (text.readableBytes() > LINE_MOST) {
            cause = "expected a line of " + LINE_MOST + " bytes at most, found no end";
            context.close();
        } else if (whole) {
            context.close();
        }
    }

    private void readValues() {
        while (looked < text.readableBytes()) {
            switch (lines.next(text.getByte(text.readerIndex() + looked++))) {
                case VALUE -> valueEnds();
                case OBJECT_LINE -> objectLineEnds();
                case ENTRY -> entryEnds.add(looked);
                default -> {
                    if (text.getByte(text.readerIndex() + looked - 1) == '\n') {
                        lineBegin = looked;
                    }
                }
            }
        }
    }

    private void valueEnds() {
        int length = looked;
        entryEnds.clear();
        entryBegin = 0;
        looked = 0;
        lineBegin = 0;
        take(length);
        if (standing == Standing.CURRENT) {
            owner.lineCame(this);
        }
    }

    /** The line is either an entry of an indented list, or a list that follows a truncated one. */
    private void objectLineEnds() {
        byte[] line = ByteBufUtil.getBytes(text, text.readerIndex() + lineBegin, looked - lineBegin);
        if (new String(line, StandardCharsets.ISO_8859_1).contains(new String(LIST_KEY, StandardCharsets.US_ASCII))) {
            refuse("expected the rest of a list, found another list after " + lineBegin + " bytes");
            heedDrains();
            text.skipBytes(lineBegin);
            looked -= lineBegin;
            lines.restart();
            valueEnds();
        }
        lineBegin = looked;
    }

    /**
     * Applies drains and removals of a list that is incomplete and may stay so: they are certain as soon as their entry
     * has arrived.
     */
    private void heedDrains() {
        Long version = entryEnds.isEmpty() ? null : PartOfList.version(bytes(0, Math.min(text.readableBytes(), PartOfList.HEAD_MOST)));
        for (Integer end = entryEnds.poll(); end != null; end = entryEnds.poll()) {
            Member leaving = version == null || version < intake.version() ? null : PartOfList.leaving(bytes(entryBegin, end));
            entryBegin = end;
            if (leaving != null) {
                intake.withdraw(new HostList.Reading(new HostList(version, false, List.of(leaving)), null, List.of(leaving), null));
            }
        }
    }

    private byte[] bytes(int from, int until) {
        return ByteBufUtil.getBytes(text, text.readerIndex() + from, until - from);
    }

    private void take(int length) {
        ByteBuf slice = text.readSlice(length);
        // the line feed may end a truncated value and is not part of it
        if (length > 0 && slice.getByte(length - 1) == '\n') {
            slice.writerIndex(length - 1);
        }
        byte[] value = ByteBufUtil.getBytes(slice);
        lists++;
        if (new String(value, StandardCharsets.UTF_8).isBlank()) {
            return;
        }
        try {
            HostList.Reading reading = ListIntake.read(value);
            note("received version " + reading.list().rev());
            if (standing == Standing.REFUSED) {
                intake.withdraw(reading);
            } else if (!repeats(reading.list().rev())) {
                String fault = intake.take(reading);
                if (fault != null) {
                    refuse(fault);
                }
            }
        } catch (JsonProcessingException | IllegalArgumentException | ArithmeticException e) {
            refuse(e.getMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            refuse(e.toString());
        }
    }

    /**
     * Whether another call has delivered this version already. A registry that was rolled back sends a version below
     * the last one of this call, which is no repetition.
     */
    private boolean repeats(long version) {
        boolean rises = version >= told;
        told = version;
        return standing == Standing.ENDING ? version < intake.version() : rises && version < covered;
    }

    private void refuse(String fault) {
        if (standing == Standing.REFUSED) {
            return;
        }
        boolean counted = standing == Standing.CURRENT;
        standing = Standing.REFUSED;
        cause = "invalid response: " + fault;
        if (counted) {
            owner.refused(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext given) {
        note("closed " + millisSince(upSince) + " ms after connecting, " + lists + " lines received, " + cause
                + (text.isReadable() ? "; " + text.readableBytes() + " bytes of an incomplete list, the first received " + millisSince(listBegan) + " ms ago" : ""));
        owner.ended(this, cause);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext given, Throwable fault) {
        cause = fault.toString();
        given.close();
    }
}
