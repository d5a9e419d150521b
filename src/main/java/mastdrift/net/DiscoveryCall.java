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

/** One call to discovery: its answer is one list, or one a line for as long as it stays open. */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> {

    private static final int LINE_MOST = 4 << 20;
    private static final byte[] LIST_KEY = "\"targets\"".getBytes(StandardCharsets.US_ASCII);

    /** What becomes of what it tells. */
    private enum Standing {
        /** It is put in force. */
        CURRENT,
        /** Another call goes on in its place, or nobody asks any more: what had been told and stood unread is put in force where it is newer. */
        ENDING,
        /** A list of it was refused: of what stands behind that, drains and removals alone. */
        REFUSED
    }

    /** Who made the call. */
    interface Owner {
        /** Whether the call still counts. */
        boolean counts(DiscoveryCall call);

        /** Its answer has begun. */
        void begun(DiscoveryCall call);

        /** A line has come, empty maybe: it lives. */
        void lineCame(DiscoveryCall call);

        /** The one answer has come whole. */
        void answered(DiscoveryCall call);

        /** A list was refused: the call is to end once what stands unread on it has been read. */
        void refused(DiscoveryCall call);

        /** A list has begun to come and isn't whole, or nothing stands unfinished any more. */
        void unfinished(boolean begins);

        /** Its connection has ended. */
        void ended(DiscoveryCall call, String cause);

        /** Something happened to it that is worth a line of the log. */
        void noted(String line);

        /** What it tells is being put in force, or not any more. */
        void reading(boolean begins);
    }

    private final int number;
    private final Owner owner;
    private final boolean watching;
    private final ListIntake intake;
    private final JsonLines lines = new JsonLines();
    private ChannelHandlerContext context;
    private ByteBuf text;
    private int looked;  // so many bytes of it have been looked through
    private int lineBegin;  // within the value that has begun
    private int entryBegin;  // within it, where the last entry that was looked into ended
    private final ArrayDeque<Integer> entryEnds = new ArrayDeque<>();  // within it, of those that were not looked into yet
    private Standing standing = Standing.CURRENT;
    private long covered = Long.MIN_VALUE;  // what another call has told: up to that this one repeats it
    private long told = Long.MIN_VALUE;  // the last version that this one told
    private String cause = "the connection ended";
    private long upSince;
    private long listBegan;  // when the first bytes of what is not whole yet came; 0 where nothing stands there
    private boolean newsBegan;  // what is not whole may be a list that tells what isn't known
    private int lists;  // that were told

    DiscoveryCall(int number, Owner owner, boolean watching, ListIntake intake) {
        this.number = number;
        this.owner = owner;
        this.watching = watching;
        this.intake = intake;
    }

    /** Nobody waits for it any more: what stands unread on it counts as told, and nothing else. */
    void end(String why) {
        endFor(why);
        if (standing == Standing.CURRENT) {
            standing = Standing.ENDING;
        }
    }

    /** Why it is to end, for the log. */
    void endFor(String why) {
        cause = standing == Standing.REFUSED ? cause : why;
    }

    /** Another call has told all up to the version in force. */
    void cover() {
        covered = intake.version();
    }

    /** Whether it has told a line, an empty one maybe. */
    boolean hasTold() {
        return lists > 0;
    }

    /** Whether a list has begun to come on it that isn't whole. */
    boolean isUnfinished() {
        return newsBegan;
    }

    private boolean mayBeNews() {
        return PartOfList.mayBeNews(bytes(0, Math.min(text.readableBytes(), PartOfList.HEAD_MOST)), intake.version());
    }

    io.netty.channel.Channel channel() {
        return context.channel();
    }

    /** What is missing after so many microseconds. */
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
        note((watching ? "watch" : "fetch") + " from " + intake.askFrom() + " is up");
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

    /** What stays incomplete is said once, and how long that took once it is whole. */
    private void noteUnfinished() {
        boolean unfinished = text.isReadable();
        boolean news = unfinished && mayBeNews();
        if (news != newsBegan) {
            newsBegan = news;
            owner.unfinished(news);
        }
        if (unfinished && listBegan == 0) {
            listBegan = System.nanoTime();
            note("a list has begun, " + text.readableBytes() + " bytes of it came");
        } else if (!unfinished && listBegan != 0) {
            note("the list that had begun was read to its end after " + millisSince(listBegan) + " ms");
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

    /** An entry of an indented list, or a list behind one that was cut off. */
    private void objectLineEnds() {
        byte[] line = ByteBufUtil.getBytes(text, text.readerIndex() + lineBegin, looked - lineBegin);
        if (new String(line, StandardCharsets.ISO_8859_1).contains(new String(LIST_KEY, StandardCharsets.US_ASCII))) {
            refuse("expected the rest of a list, found another one behind " + lineBegin + " bytes");
            heedDrains();
            text.skipBytes(lineBegin);
            looked -= lineBegin;
            lines.restart();
            valueEnds();
        }
        lineBegin = looked;
    }

    /** Of a list that isn't whole yet, and may never be, drains and removals are certain as soon as their entry has come. */
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
        if (length > 0 && slice.getByte(length - 1) == '\n') {  // it ended what may be cut off, and is no part of it
            slice.writerIndex(length - 1);
        }
        byte[] value = ByteBufUtil.getBytes(slice);
        lists++;
        if (new String(value, StandardCharsets.UTF_8).isBlank()) {
            return;
        }
        try {
            HostList.Reading reading = ListIntake.read(value);
            note("tells version " + reading.list().rev());
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

    /** Whether another call has told it already. A registry that was set back tells a version below its own last one, and that is no repetition. */
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
        cause = "odd answer: " + fault;
        if (counted) {
            owner.refused(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext given) {
        note("ended " + millisSince(upSince) + " ms after it was up, " + lists + " lines told, " + cause
                + (text.isReadable() ? "; " + text.readableBytes() + " bytes of a list that is not whole, the first " + millisSince(listBegan) + " ms ago" : ""));
        owner.ended(this, cause);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext given, Throwable fault) {
        cause = fault.toString();
        given.close();
    }
}
