package mastdrift.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mastdrift.engine.Clock;
import mastdrift.engine.Member;
import mastdrift.membership.ListGuard;

/** Fetches and watches the list of hosts. That calls fail, or a watch ends, is told; the module decides when to ask again, and
    {@link CallSchedule} by when at the latest. Discovery may move: then what was asked for is asked for at the new address. */
public final class Discovery {

    private static final int MOST = 4 << 20;
    private static final int LOOKS = 16;  // at what stands unread on a call that ends: some hundred KB, more than a list of the largest days has

    private final EventLoop loop;
    private InetSocketAddress at;
    private final Consumer<HostList> lists;
    private final Consumer<String> failures;
    private final Runnable calls;
    private final Clock clock = Clock.system();
    private final ListGuard guard;
    private final Asked watch;
    private final Asked fetch;
    private int reading;  // calls, one within another where one ends others

    /** Hears lists and failures on the loop's thread; {@code known} is the list in force already. Calls may have to wait for their turn. */
    public Discovery(EventLoop loop, InetSocketAddress at, HostList known, Consumer<HostList> lists, Consumer<String> failures) {
        this(loop, at, false, known, lists, failures, () -> { });
    }

    /** Likewise, where lists are {@code pushed}: calls are answered at once; {@code calls} hears of each that begins. */
    Discovery(EventLoop loop, InetSocketAddress at, boolean pushed, HostList known, Consumer<HostList> lists, Consumer<String> failures,
            Runnable calls) {
        this.loop = loop;
        long turn = pushed ? CallSchedule.AGENT_TURN : CallSchedule.TURN;
        watch = new Asked(true, turn);
        fetch = new Asked(false, turn);
        this.at = at;
        guard = new ListGuard(known.rev(), !known.entries().isEmpty());
        this.lists = lists;
        this.failures = failures;
        this.calls = calls;
    }

    /** Where there is a watch already, that one goes on. */
    public void watch(boolean active) {
        if (active) {
            watch.schedule.ask(now());
        } else {
            watch.schedule.end().forEach(Channel::close);
        }
        watch.step();
    }

    /** Likewise: asks for the whole list, where it hasn't been asked for already. */
    void fetch() {
        fetch.schedule.ask(now());
        fetch.step();
    }

    /** Reads what stands unread on its calls: in force once this returns. On the loop's thread. While a call is being read nothing is: what it tells comes first. */
    void look() {
        if (reading > 0) {
            return;
        }
        for (Asked asked : List.of(watch, fetch)) {
            for (Channel channel : asked.schedule.calls()) {
                Call call = channel.pipeline().get(Call.class);
                if (call != null) {
                    Look.through(channel, LOOKS);
                }
            }
        }
    }

    /** From now on nothing counts that the old address says, nor that it ends. */
    void move(InetSocketAddress to) {
        if (to.equals(at)) {
            return;
        }
        at = to;
        for (Asked asked : List.of(watch, fetch)) {
            asked.schedule.moved(now()).forEach(Channel::close);
            asked.step();
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000;
    }

    /** What is asked for, and the calls that are out for it. */
    private final class Asked {

        private final boolean watching;
        private final CallSchedule<Channel> schedule;
        private Future<?> due;
        private long dueAt = Long.MAX_VALUE;

        Asked(boolean watching, long turn) {
            this.watching = watching;
            schedule = new CallSchedule<>(turn, watching, ThreadLocalRandom.current()::nextLong);
        }

        /** Does what is due, and comes again when something is. After whatever the schedule was told. */
        private void step() {
            long now = now();
            for (Channel late : schedule.overdue(now)) {
                Call call = late.pipeline().get(Call.class);
                failed(late, call == null || !late.isActive() ? "no connection" : call.lacks(schedule.bound(late)));
                late.close();
            }
            if (schedule.begins(now)) {
                calls.run();
                ChannelFuture dialled = dial();
                schedule.began(now, dialled.channel());
                // Where there is no descriptor left, the library says so on a thread of its own.
                dialled.addListener(done -> loop.execute(() -> dialled(dialled)));
            }
            long next = schedule.due();
            if (next < dueAt) {  // one that comes too early looks and goes on
                if (due != null) {
                    due.cancel(false);
                }
                dueAt = next;
                due = loop.schedule(() -> {
                    dueAt = Long.MAX_VALUE;
                    step();
                }, Math.max(0, next - now), TimeUnit.MICROSECONDS);
            }
        }

        private ChannelFuture dial() {
            return new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)  // the schedule bounds it
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpClientCodec(), new Call(Asked.this));
                        }
                    }).connect(at);
        }

        private void dialled(ChannelFuture dialled) {
            if (dialled.isSuccess()) {
                schedule.connected(now(), dialled.channel()).forEach(Channel::close);
                String path = watching ? "/v1/endpoints?watch=1&from=" + guard.rev() : "/v1/endpoints";
                DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
                request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(at));
                dialled.channel().writeAndFlush(request);
            } else {
                failed(dialled.channel(), "no connection");
            }
            step();
        }

        /** Another call has told a line. What stands unread on these was told as well, and may be newer: it is taken before they end, or it would come
            only with the next line of the one that goes on. */
        private void end(List<Channel> calls, Call by) {
            for (Channel channel : calls) {
                Call call = channel.pipeline().get(Call.class);
                if (call != null) {
                    call.last = true;
                    call.known = guard.rev();
                    Look.through(channel, LOOKS);
                    by.known = guard.rev();
                }
                channel.close();
            }
        }

        private void failed(Channel channel, String cause) {
            if (schedule.failed(now(), channel)) {
                failures.accept(cause);
            }
        }
    }

    /** One call: its answer is one list, or one a line for as long as it stays open. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {

        private final Asked asked;
        private final boolean watching;
        private final JsonLines lines = new JsonLines();
        private ByteBuf text;
        private int looked;  // so many bytes of it are known to hold no end
        private boolean last;  // another call goes on in its place: what stands unread is taken, and nobody hears its end
        private long known = Long.MIN_VALUE;  // as another call has told: what it tells itself may well be older
        private String cause = "the connection ended";

        Call(Asked asked) {
            this.asked = asked;
            watching = asked.watching;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            text = context.alloc().heapBuffer();
        }

        private String lacks(long micros) {
            return "expected a line within " + micros / 1_000 + " ms, found " + (text.isReadable() ? text.readableBytes() + " bytes of one" : "none");
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            text.release();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) throws IOException {
            if (part.decoderResult().isFailure() || !last && !asked.schedule.out(context.channel())) {
                context.close();
                return;
            }
            if (part instanceof HttpResponse response && response.status().code() != 200) {
                cause = "status " + response.status().code();
                context.close();
            } else if (part instanceof HttpContent content) {
                text.discardReadBytes().writeBytes(content.content());
                reading++;
                try {
                    read(context, part instanceof LastHttpContent);
                } finally {
                    reading--;
                }
            }
        }

        private void read(ChannelHandlerContext context, boolean whole) throws IOException {
            while (watching && looked < text.readableBytes()) {
                if (lines.ends(text.getByte(text.readerIndex() + looked++))) {
                    int length = looked - 1;
                    looked = 0;
                    take(length);
                    text.skipBytes(1);
                    if (!last) {
                        asked.end(asked.schedule.heard(now(), context.channel()), this);
                    }
                }
            }
            if (whole && !watching) {
                take(text.readableBytes());
                if (!last) {
                    asked.end(asked.schedule.answered(context.channel()), this);
                }
            }
            if (text.readableBytes() > MOST) {
                cause = "expected a line of " + MOST + " bytes at most, found no end";
                context.close();
            } else if (whole) {
                context.close();
            }
        }

        private void take(int length) throws IOException {
            byte[] line = ByteBufUtil.getBytes(text.readSlice(length));
            if (new String(line, StandardCharsets.UTF_8).isBlank()) {
                return;
            }
            HostList list = HostList.parse(JSON.std.anyFrom(line));
            if (list.rev() < (watching ? known : guard.rev())) {
                known = Long.MIN_VALUE;  // once: a registry that was set back tells older lists for good, and the guard judges those
                return;  // another call has told of more meanwhile
            }
            ListGuard.Finding found = guard.check(clock.now(), list.rev(), list.all(),
                    list.entries().stream().map(Member::host).toList());
            if (found.fault() == null) {
                lists.accept(list);
                return;
            }
            if (!found.leaving().isEmpty()) {
                lists.accept(new HostList(guard.rev(), false, list.entries().stream()
                        .filter(entry -> found.leaving().contains(entry.host())).toList()));
            }
            throw new IllegalArgumentException("list " + list.rev() + ", " + found.fault());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            asked.failed(context.channel(), cause);
            loop.execute(asked::step);  // once all that this turn found has been read: another call's line may be among it
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable fault) {
            boolean odd = fault instanceof IllegalArgumentException || fault instanceof ArithmeticException
                    || fault instanceof JsonProcessingException;
            cause = odd ? "odd answer: " + fault.getMessage().lines().findFirst().orElse("") : fault.toString();
            context.close();
        }
    }
}
