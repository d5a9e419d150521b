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
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import mastdrift.engine.Clock;
import mastdrift.engine.Member;
import mastdrift.membership.ListGuard;

/** Fetches and watches the list of hosts. A call that fails, or a watch that ends, is told once; the module decides
    when to ask again. Discovery may move: then what was asked for is asked for at the new address. */
public final class Discovery {

    // Calls wait for their turn, for some seconds; a watch that has begun has an empty line every 2 s at least.
    // What is listed while a watch is silent counts as told 6 s later, so that this and one call after it have to fit in.
    private static final int TURN_MILLIS = 3500;
    // An agent of the gateway's own machine has no turns: it answers at once, or is silent while it hears nothing itself.
    private static final int AGENT_TURN_MILLIS = 1000;
    private static final int SILENCE_MILLIS = 2500;
    // After a move, what discovery tells has to be heard within 4 s: for so long a call is repeated soon, and its failure
    // is one of the move and not told.
    private static final int MOVE_MILLIS = 4000;
    private static final int MOVE_TURN_MILLIS = 1500;
    private static final int MOVE_DIAL_MILLIS = 500;
    private static final int MOVE_PAUSE_MILLIS = 150;
    private static final int DIAL_MILLIS = 2000;
    private static final int MOST = 4 << 20;

    private final EventLoop loop;
    private InetSocketAddress at;
    private final int turnMillis;
    private final Consumer<HostList> lists;
    private final Consumer<String> failures;
    private final Clock clock = Clock.system();
    private final ListGuard guard;
    private Channel watch;
    private boolean watchWanted;
    private Channel fetch;
    private long movedAt = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(MOVE_MILLIS);

    /** Hears lists and failures on the loop's thread; {@code known} is the list in force already. Calls may have to wait for their turn. */
    public Discovery(EventLoop loop, InetSocketAddress at, HostList known, Consumer<HostList> lists, Consumer<String> failures) {
        this(loop, at, false, known, lists, failures);
    }

    /** Likewise, where lists are {@code pushed}: calls are answered at once. */
    Discovery(EventLoop loop, InetSocketAddress at, boolean pushed, HostList known, Consumer<HostList> lists, Consumer<String> failures) {
        this.loop = loop;
        turnMillis = pushed ? AGENT_TURN_MILLIS : TURN_MILLIS;
        this.at = at;
        guard = new ListGuard(known.rev(), !known.entries().isEmpty());
        this.lists = lists;
        this.failures = failures;
    }

    /** Begins anew where there is a watch already: that one ends unheard. */
    public void watch(boolean active) {
        watchWanted = active;
        Channel before = watch;
        watch = null;
        if (before != null) {
            before.close();
        }
        if (active) {
            watch = call("/v1/endpoints?watch=1&from=" + guard.rev(), true);
        }
    }

    /** Likewise. */
    void fetch() {
        Channel before = fetch;
        fetch = null;
        if (before != null) {
            before.close();
        }
        fetch = call("/v1/endpoints", false);
    }

    /** From now on nothing counts that the old address says, nor that it ends. */
    void move(InetSocketAddress to) {
        if (to.equals(at)) {
            return;
        }
        at = to;
        movedAt = System.nanoTime();
        if (watchWanted) {
            watch(true);
        }
        if (fetch != null) {
            fetch();
        }
    }

    private boolean moving() {
        return System.nanoTime() - movedAt < TimeUnit.MILLISECONDS.toNanos(MOVE_MILLIS);
    }

    private Channel call(String path, boolean watching) {
        ChannelFuture dialled = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, moving() ? MOVE_DIAL_MILLIS : DIAL_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new Call(watching));
                    }
                }).connect(at);
        dialled.addListener(done -> {
            if (done.isSuccess()) {
                DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
                request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(at));
                dialled.channel().writeAndFlush(request);
            } else {
                failed(dialled.channel(), watching, "no connection");
            }
        });
        return dialled.channel();
    }

    private boolean replaced(Channel channel, boolean watching) {
        return channel != (watching ? watch : fetch);
    }

    private void failed(Channel channel, boolean watching, String cause) {
        if (replaced(channel, watching)) {
            return;
        }
        ended(watching);
        if (moving()) {
            loop.schedule(() -> askAgain(watching), MOVE_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            failures.accept(cause);
        }
    }

    private void ended(boolean watching) {
        if (watching) {
            watch = null;
        } else {
            fetch = null;
        }
    }

    private void askAgain(boolean watching) {
        if (watching && watchWanted && watch == null) {
            watch(true);
        } else if (!watching && fetch == null) {
            fetch();
        }
    }

    /** One call: its answer is one list, or one a line for as long as it stays open. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {

        private final boolean watching;
        private final JsonLines lines = new JsonLines();
        private ByteBuf text;
        private int looked;  // so many bytes of it are known to hold no end
        private Future<?> due;  // when the next whole line has to be there: bytes alone are no sign of life
        private boolean over;
        private String cause = "the connection ended";

        Call(boolean watching) {
            this.watching = watching;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            text = context.alloc().heapBuffer();
            expect(context, moving() ? Math.min(MOVE_TURN_MILLIS, turnMillis) : turnMillis);
        }

        private void expect(ChannelHandlerContext context, long millis) {
            if (due != null) {
                due.cancel(false);
            }
            due = loop.schedule(() -> {
                cause = "expected a line within " + millis + " ms, found "
                        + (text.isReadable() ? text.readableBytes() + " bytes of one" : "none");
                context.close();
            }, millis, TimeUnit.MILLISECONDS);
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            due.cancel(false);
            text.release();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) throws IOException {
            if (over || part.decoderResult().isFailure() || replaced(context.channel(), watching)) {
                context.close();
                return;
            }
            if (part instanceof HttpResponse response && response.status().code() != 200) {
                cause = "status " + response.status().code();
                context.close();
            } else if (part instanceof HttpContent content) {
                text.discardReadBytes().writeBytes(content.content());
                read(context, part instanceof LastHttpContent);
            }
        }

        private void read(ChannelHandlerContext context, boolean last) throws IOException {
            while (watching && looked < text.readableBytes()) {
                if (lines.ends(text.getByte(text.readerIndex() + looked++))) {
                    int length = looked - 1;
                    looked = 0;
                    take(length);
                    text.skipBytes(1);
                    expect(context, SILENCE_MILLIS);
                }
            }
            if (last && !watching) {
                take(text.readableBytes());
                over = true;
                ended(false);
            }
            if (text.readableBytes() > MOST) {
                cause = "expected a line of " + MOST + " bytes at most, found no end";
                context.close();
            } else if (last) {
                context.close();
            }
        }

        private void take(int length) throws IOException {
            byte[] line = ByteBufUtil.getBytes(text.readSlice(length));
            if (new String(line, StandardCharsets.UTF_8).isBlank()) {
                return;
            }
            HostList list = HostList.parse(JSON.std.anyFrom(line));
            if (!watching && list.rev() < guard.rev()) {
                return;  // the watch has told of more since it was fetched
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
            if (!over) {
                over = true;
                failed(context.channel(), watching, cause);
            }
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
