package mastdrift.lab.rig;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The connections from one gateway to another, which pass through here and suffer what the network is to do. What a silent network holds back goes on when it is heard
    again, as TCP would have it. Bounded by {@value #HELD_MOST} bytes a direction and connection: then it reads no more. */
public final class Relay implements AutoCloseable {

    static final int HELD_MOST = 1 << 20;
    private static final double AGAIN_MILLIS = 200;  // a lost piece comes again after that, as TCP's least time-out has it (RFC 6298 has 1 s, Linux 200 ms)

    /**
     * What the network does.
     *
     * @param forthSilent nothing of the connecting side's arrives
     * @param backSilent nothing of the other side's
     * @param reset connections are reset, and so are new ones
     * @param delayMillis of each piece
     * @param jitterMillis at most so much more, drawn for each piece; pieces don't overtake
     * @param bytesPerSecond of a slow link, in each direction; 0 for any
     * @param lost share of pieces that come again later
     * @param spoilt share of pieces of which a bit is changed
     */
    public record Weather(boolean forthSilent, boolean backSilent, boolean reset, double delayMillis, double jitterMillis, double bytesPerSecond, double lost, double spoilt) {

        /** Nothing is wrong. */
        public static final Weather FAIR = new Weather(false, false, false, 0, 0, 0, 0, 0);
        /** As to a machine that vanished. */
        public static final Weather SILENT = new Weather(true, true, false, 0, 0, 0, 0, 0);
        /** Every connection is reset. */
        public static final Weather RESET = new Weather(false, false, true, 0, 0, 0, 0, 0);

        /** What comes of both at once. */
        Weather with(Weather other) {
            return new Weather(forthSilent || other.forthSilent, backSilent || other.backSilent, reset || other.reset, delayMillis + other.delayMillis,
                    jitterMillis + other.jitterMillis, bytesPerSecond == 0 || other.bytesPerSecond == 0 ? bytesPerSecond + other.bytesPerSecond
                    : Math.min(bytesPerSecond, other.bytesPerSecond), Math.max(lost, other.lost), Math.max(spoilt, other.spoilt));
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final Random random;
    private final Channel server;
    private final Set<Pipe> pipes = new HashSet<>();
    private Weather weather = Weather.FAIR;

    /** Listens on a free port of 127.0.0.1 and passes on to an address; on the loop that it is given. */
    public Relay(EventLoop loop, InetSocketAddress target, long seed) {
        this.loop = loop;
        this.target = target;
        random = new Random(seed);
        server = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        new Pipe(channel);
                    }
                }).bind(new InetSocketAddress("127.0.0.1", 0)).syncUninterruptibly().channel();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /** From now on; returns once it is so. */
    public void weather(Weather next) {
        loop.submit(() -> {
            weather = next;
            for (Pipe pipe : List.copyOf(pipes)) {
                pipe.changed();
            }
        }).syncUninterruptibly();
    }

    /** A connection and its way on. */
    private final class Pipe {

        private final Channel front;
        private Channel back;  // null until it is there

        Pipe(Channel front) {
            this.front = front;
            pipes.add(this);
            front.closeFuture().addListener(done -> end());
            front.pipeline().addLast(new Half(this, true));
        }

        void changed() {
            if (weather.reset) {
                front.config().setOption(ChannelOption.SO_LINGER, 0);
                end();
            } else if (back == null && !weather.forthSilent && front.isRegistered()) {
                open();
            } else if (back != null) {
                front.config().setAutoRead(!weather.forthSilent);
                back.config().setAutoRead(!weather.backSilent);
            }
        }

        private void open() {
            back = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.AUTO_READ, false)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new Half(Pipe.this, false));
                        }
                    }).connect(target).addListener((ChannelFutureListener) done -> {
                        if (done.isSuccess()) {
                            changed();
                        } else {
                            end();
                        }
                    }).channel();
            back.closeFuture().addListener(done -> end());
        }

        void end() {
            if (pipes.remove(this)) {
                front.close();
                if (back != null) {
                    back.close();
                }
            }
        }
    }

    /** One direction. */
    private final class Half extends ChannelInboundHandlerAdapter {

        private final Pipe pipe;
        private final boolean forth;
        private double free;  // when the link has passed on what it was given, in milliseconds
        private long held;

        Half(Pipe pipe, boolean forth) {
            this.pipe = pipe;
            this.forth = forth;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (forth) {
                pipe.changed();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf piece = (ByteBuf) message;
            Channel to = forth ? pipe.back : pipe.front;
            if (to == null) {
                piece.release();
                return;
            }
            if (weather.spoilt > 0 && random.nextDouble() < weather.spoilt && piece.readableBytes() > 0) {
                int at = piece.readerIndex() + random.nextInt(piece.readableBytes());
                piece.setByte(at, piece.getByte(at) ^ 1 << random.nextInt(Byte.SIZE));
            }
            double now = System.nanoTime() / 1e6;
            double due = now + weather.delayMillis + weather.jitterMillis * random.nextDouble() + (random.nextDouble() < weather.lost ? AGAIN_MILLIS : 0);
            free = Math.max(free, due) + (weather.bytesPerSecond > 0 ? piece.readableBytes() / weather.bytesPerSecond * 1e3 : 0);
            if (free <= now) {
                to.writeAndFlush(piece);
                return;
            }
            int bytes = piece.readableBytes();
            held += bytes;
            if (held > HELD_MOST) {
                context.channel().config().setAutoRead(false);
            }
            loop.schedule(() -> {
                held -= bytes;
                to.writeAndFlush(piece);
                if (held <= HELD_MOST / 2) {
                    pipe.changed();
                }
            }, (long) ((free - now) * 1e3), TimeUnit.MICROSECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            pipe.end();
        }
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
        loop.submit(() -> new ArrayList<>(pipes).forEach(Pipe::end)).syncUninterruptibly();
    }
}
