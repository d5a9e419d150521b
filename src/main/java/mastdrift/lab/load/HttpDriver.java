package mastdrift.lab.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import mastdrift.Balancer.Repeat;
import mastdrift.lab.load.Driver.Ended;

/** HTTP/1.1 as the platform's clients speak it: one request at a time on a connection, kept connections, a new one where all
    are busy and the bound allows. A request on a kept connection that closes before a byte of answer has come is sent once
    more on a new one, as the protocol has it. All on the loop's thread. */
final class HttpDriver implements Driver {

    private static final int ANSWER_MOST = 1 << 20;
    // Connects at once: more would meet a full backlog.
    private static final int OPENING_MOST = 256;

    private final EventLoop loop;
    private final LoadPlan plan;
    private final int most;
    private final Ear ear;
    private final Bootstrap bootstrap;
    private final Deque<Line> idle = new ArrayDeque<>();
    private final Deque<Shot> waiting = new ArrayDeque<>();
    private final Set<Line> lines = new HashSet<>();
    private int ahead;
    private int opening;
    private boolean closed;

    /** {@code most} of the plan's connections are this one's. */
    HttpDriver(EventLoop loop, LoadPlan plan, int most, Ear ear) {
        this.loop = loop;
        this.plan = plan;
        this.most = most;
        this.ear = ear;
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 10_000).remoteAddress(plan.to())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(ANSWER_MOST));
                    }
                });
    }

    @Override
    public void open() {
        ahead = plan.opened() ? most : 0;
        openMore();
    }

    private void openMore() {
        while (ahead > 0 && opening < OPENING_MOST && !closed) {
            ahead--;
            opening++;
            connect(null, false);
        }
    }

    @Override
    public boolean opened() {
        return ahead == 0 && opening == 0;
    }

    @Override
    public void fire(Shot shot) {
        // In turn where all were opened ahead, so that all stay in use; else the one used last.
        Line line = plan.opened() ? idle.pollFirst() : idle.pollLast();
        if (line != null) {
            line.ask(shot, false);
        } else if (lines.size() < most) {
            connect(shot, false);
        } else {
            waiting.add(shot);
        }
    }

    private void connect(Shot shot, boolean waited) {
        Line line = new Line(shot, waited);
        lines.add(line);
        line.connecting = bootstrap.connect();
        line.connecting.addListener((ChannelFutureListener) line::connected);
    }

    private void next() {
        for (Shot shot = waiting.poll(); shot != null; shot = waiting.poll()) {
            if (System.nanoTime() - shot.due() > shot.part().deadline() * 1000) {
                ear.ended(shot, Ended.UNSENT, 0);
                continue;
            }
            Line line = idle.pollFirst();
            if (line == null && lines.size() >= most) {
                waiting.addFirst(shot);
                return;
            }
            if (line == null) {
                connect(shot, true);
            } else {
                line.ask(shot, true);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        waiting.clear();
        Set.copyOf(lines).forEach(Line::drop);
    }

    /** One connection. */
    private final class Line extends SimpleChannelInboundHandler<FullHttpResponse> {

        private ChannelFuture connecting;
        private Channel channel;
        private Shot shot;
        private Future<?> timer;
        private boolean used;
        private final boolean waited;

        Line(Shot first, boolean waited) {
            shot = first;
            this.waited = waited;
        }

        private void connected(ChannelFuture future) {
            Shot first = shot;
            shot = null;
            opening -= first == null ? 1 : 0;
            if (!future.isSuccess() || closed) {
                lines.remove(this);
                future.channel().close();
                if (first != null) {
                    ear.left(first, waited);
                    ear.ended(first, Ended.UNANSWERED, 0);
                }
            } else {
                channel = future.channel();
                channel.pipeline().addLast(this);
                if (first != null) {
                    ask(first, waited);
                } else {
                    free();
                }
            }
            openMore();
        }

        private void ask(Shot given, boolean waited) {
            shot = given;
            long left = given.part().deadline() - (System.nanoTime() - given.due()) / 1000;
            if (left <= 0) {
                shot = null;
                ear.ended(given, Ended.UNSENT, 0);
                free();
                next();  // or who waits behind it would wait for good
                return;
            }
            ear.left(given, waited);
            timer = loop.schedule(this::late, left, TimeUnit.MICROSECONDS);
            write(left);
        }

        private void write(long left) {
            ByteBuf body = shot.part().body() == 0 ? Unpooled.EMPTY_BUFFER
                    : channel.alloc().buffer(shot.part().body()).writeZero(shot.part().body());
            boolean safe = shot.part().repeat() == Repeat.SAFE;
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, safe && shot.part().body() == 0
                    ? HttpMethod.GET : HttpMethod.POST, "/api/" + shot.part().className(), body);
            request.headers().set(HttpHeaderNames.HOST, "load").set("X-Trace-Id", shot.id()).set("X-Qos", shot.part().className())
                    .set("X-Object", "object-" + shot.key()).set("X-Expires-In-Ms", Math.max(1, left / 1000));
            if (shot.part().tenant() != null) {
                request.headers().set("X-Customer", shot.part().tenant());
            }
            if (shot.tries() > 1) {
                request.headers().set("X-Second-Try", "1");
            }
            if (shot.part().repeat() == Repeat.KEYED) {
                request.headers().set("Idempotency-Key", shot.repeatKey());
            }
            if (request.method() == HttpMethod.POST) {
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, shot.part().body());
            }
            channel.writeAndFlush(request, channel.voidPromise());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            if (shot == null || answer.decoderResult().isFailure()) {
                drop();  // nobody asked for it
                return;
            }
            int status = answer.status().code();
            Ended how = status == 200 ? own(answer.content()) ? Ended.SERVED : Ended.FOREIGN
                    : status == 429 || status == 503 ? Ended.REFUSED : Ended.FAILED;
            String advice = answer.headers().get(HttpHeaderNames.RETRY_AFTER);
            boolean keeps = HttpUtil.isKeepAlive(answer);
            Shot asked = shot;
            settle();
            if (keeps) {
                free();
            } else {
                drop();
            }
            ear.ended(asked, how, how == Ended.REFUSED ? micros(advice) : 0);
            next();
        }

        /** Stand-in hosts answer with their name and the request's id. */
        private boolean own(ByteBuf content) {
            byte[] id = shot.id().getBytes(StandardCharsets.US_ASCII);
            int from = content.writerIndex() - id.length;
            boolean own = from > content.readerIndex() && content.getByte(from - 1) == ' ';
            for (int i = 0; own && i < id.length; i++) {
                own = content.getByte(from + i) == id[i];
            }
            return own;
        }

        private void settle() {
            timer.cancel(false);
            shot = null;
            used = true;
        }

        private void free() {
            idle.addLast(this);
        }

        private void late() {
            Shot asked = shot;
            settle();
            drop();
            ear.ended(asked, Ended.UNANSWERED, 0);
            next();
        }

        private void drop() {
            lines.remove(this);
            idle.remove(this);
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            lines.remove(this);
            idle.remove(this);
            Shot asked = shot;
            if (asked == null || closed) {
                return;
            }
            boolean again = used;
            settle();
            if (again) {
                connect(asked, true);
            } else {
                ear.ended(asked, Ended.UNANSWERED, 0);
                next();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Whole or decimal seconds; what can't be read is no advice. */
    private static long micros(String retryAfter) {
        try {
            return retryAfter == null ? 0 : (long) (Double.parseDouble(retryAfter) * 1e6);
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
