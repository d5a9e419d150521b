package mastdrift.net;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import mastdrift.Balance;
import mastdrift.Balancer.Settings;
import mastdrift.limits.PhaseBounds;

/** Runs one gateway: wires its parts, rereads its configuration at SIGHUP, and stops it at SIGTERM. */
public final class Main {

    // File descriptors kept for the process's own files, for discovery, and for connections being opened or closed.
    private static final int RESERVED_DESCRIPTORS = 96;
    private static final String TALLY_OPTION = "--tally";
    // After SIGTERM the platform waits for the longest deadline, but 3 s at most, and 0.7 s more, before it kills the
    // process (PROTOCOL, Figures).
    private static final long FINISH_TIMEOUT_MICROS = 3_000_000;
    private static final int EXIT_TIMEOUT_SECONDS = 4;
    // A start waits this long for discovery's first list, then uses the known list. All that had been listed before the
    // start counts as told by then, received or not (PROTOCOL), so that waiting longer protects from nothing, and its
    // clients may have no other gateway meanwhile.
    private static final long FIRST_LIST_TIMEOUT_MILLIS = 6_000;
    // The first calls of gateways that start together are spread over this time, about as long as a warm-up takes.
    private static final long FIRST_CALL_SPREAD_MILLIS = 2_000;
    private static final double GOLDEN_RATIO_CONJUGATE = (Math.sqrt(5) - 1) / 2;

    // The JDK refers to loggers weakly: one that is not referenced elsewhere loses its level.
    private static final Logger NETTY_LOGGER = Logger.getLogger("io.netty");

    private Main() { }

    /**
     * Runs until SIGTERM; exits with status 2 if the configuration is invalid. With the argument {@value #TALLY_OPTION}
     * it logs its counters, a line a second.
     */
    public static void main(String[] args) {
        long beganNanos = System.nanoTime();
        boolean tally = args.length == 1 && args[0].equals(TALLY_OPTION);
        if (args.length > 0 && !tally) {
            System.err.println("can't start: expected " + TALLY_OPTION + " or nothing, found "
                    + String.join(" ", args));
            System.exit(2);
        }
        disableNettyLog();
        TimedEventLoop timedLoop = TimedEventLoop.start(System.out::println);
        EventLoop loop = timedLoop.loop();
        CompletableFuture<Gateway> gatewayFuture = new CompletableFuture<>();
        // Installed first, since SIGHUP would otherwise end the process. A signal that comes before the gateway has
        // been made is handled as soon as it is.
        onSighup(() -> gatewayFuture.thenAccept(gateway -> reload(gateway, loop)));
        try {
            GatewayConfig config = GatewayConfig.read(System.getenv());
            // Starts the first call to discovery, whose answer is awaited below.
            StartedGateway started = prepare(config, timedLoop, firstCallDelayMillis(config.settings()), tally,
                    System.out);
            // Installed before the first client connects: a SIGTERM between the two would end the process and lose the
            // requests accepted.
            HttpFront clients = started.clients();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(loop, clients, System.out, () -> Runtime.getRuntime().halt(0))));
            // Discovery may change its address while its first list is awaited.
            gatewayFuture.complete(started.gateway());
            completeStart(started, loop, config, TimedEventLoop.start(), beganNanos, System.out);
            listen(started, config, System.out);
        } catch (IllegalArgumentException | CompletionException e) {
            Throwable cause = e instanceof CompletionException ? e.getCause() : e;
            System.err.println("can't start: " + cause.getMessage());
            System.exit(2);
        }
    }

    /** Turns Netty's log off; to be called before the first class of Netty is loaded. */
    static void disableNettyLog() {
        // Netty logs a failed accept. With no file descriptor left the log's own files can't be opened, and the
        // resulting error would end the event loop's thread and with it the gateway.
        NETTY_LOGGER.setLevel(Level.OFF);
        // Netty would look for other logging libraries, which are on the class path for the other commands, and load
        // one that it finds.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /**
     * Completes a start before the first client connects: warms up the request path on {@code warmUpLoop}, which is
     * shut down afterwards, and waits until discovery has delivered a list, or until the time for that is over, counted
     * from {@code beganNanos} by {@link System#nanoTime}.
     */
    static void completeStart(StartedGateway started, EventLoop loop, GatewayConfig config, TimedEventLoop warmUpLoop,
            long beganNanos, PrintStream out) {
        warmUp(config, warmUpLoop, out::println);
        loop.execute(started.gateway()::allowDiscovery);
        awaitFirstList(started.gateway(), beganNanos, out);
    }

    /**
     * When this gateway calls discovery first, in milliseconds from its start. Where discovery queues calls and many
     * gateways start at once, those that call last wait for all others, and a call that is refused after its wait has
     * cost discovery as much as any other. Calling late costs nothing while the warm-up runs. Multiples of the golden
     * ratio leave even gaps for any range of gateway numbers, and nearly even ones for any subset of them.
     */
    static long firstCallDelayMillis(Settings settings) {
        double position = settings.site().me() * GOLDEN_RATIO_CONJUGATE;
        return settings.registryOnRequest() ? (long) ((position - Math.floor(position)) * FIRST_CALL_SPREAD_MILLIS) : 0;
    }

    /** Warms up the request path on the given loop, which is shut down afterwards. */
    static void warmUp(GatewayConfig config, TimedEventLoop timedLoop, Consumer<String> log) {
        PrintStream silent = new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
        WarmUp.run((hosts, standInAddress) -> StartedGateway.create(new GatewayConfig(standInAddress, standInAddress,
                config.maxSockets(), config.maxMemoryBytes(), new HostList(0, true, hosts), config.settings()),
                timedLoop, hosts.size() * 2, hosts.size(), hosts.size(), false, silent).clients(),
                config.settings().classes(), config.settings().tenants(), config.settings().site().zone(),
                config.listen().getAddress(), timedLoop.loop(), log);
    }

    /**
     * Handles SIGHUP. There is no other way to handle a signal without ending the process; javac's warning about this
     * package can't be suppressed.
     */
    private static void onSighup(Runnable action) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> action.run());
    }

    /**
     * Reads discovery's address from the configuration again; a configuration that can't be read changes nothing. Each
     * signal is handled on a thread of its own: one at a time, or what was read first might be applied last.
     */
    private static synchronized void reload(Gateway gateway, EventLoop loop) {
        try {
            InetSocketAddress discovery = GatewayConfig.discovery(System.getenv());
            loop.execute(() -> gateway.setDiscoveryAddress(discovery));
        } catch (IllegalArgumentException e) {
            loop.execute(() -> gateway.log("configuration not reloaded: " + e.getMessage()));
        }
    }

    /** A gateway and its front. */
    record StartedGateway(Gateway gateway, HttpFront clients) {

        /** Starts the module; called on the event loop's thread. */
        static StartedGateway create(GatewayConfig config, TimedEventLoop timedLoop, int maxHostConnections,
                int maxOpenRequests, int maxClientConnections, boolean tally,
                PrintStream out) {
            Gateway gateway = new Gateway(config, timedLoop, new Balance(), maxHostConnections, maxOpenRequests, tally,
                    out);
            return new StartedGateway(gateway, new HttpFront(timedLoop.loop(), gateway.ledger(), gateway,
                    config.settings().classes(), config.settings().tenants(), maxClientConnections, PhaseBounds.DEFAULT,
                    gateway.requestMemory(), gateway.responseMemory(), gateway::log));
        }
    }

    /**
     * Starts a gateway on the loop, not yet listening; throws IllegalArgumentException for an invalid configuration. It
     * calls discovery after {@code firstCallDelayMillis} at the earliest, or once {@link Gateway#allowDiscovery} is
     * called.
     */
    static StartedGateway prepare(GatewayConfig config, TimedEventLoop timedLoop, long firstCallDelayMillis, boolean tally,
            PrintStream out) {
        // Half of the connections are for clients. An eighth of these is for answering requests beyond the open ones.
        int descriptors = Math.min(Math.min(config.maxSockets(), FileDescriptorLimit.softLimit()), 1 << 16);
        int maxConnections = Math.max(8, (descriptors - RESERVED_DESCRIPTORS) / 2);
        return CompletableFuture.supplyAsync(() -> {
            StartedGateway started = StartedGateway.create(config, timedLoop, maxConnections,
                    maxConnections - maxConnections / 8, maxConnections, tally, out);
            if (firstCallDelayMillis > 0) {
                started.gateway().holdDiscovery();
                timedLoop.loop().schedule(started.gateway()::allowDiscovery, firstCallDelayMillis,
                        TimeUnit.MILLISECONDS);
            }
            return started;
        }, timedLoop.loop()).join();
    }

    /** As above, with no call to discovery held back. */
    static StartedGateway prepare(GatewayConfig config, TimedEventLoop timedLoop, boolean tally, PrintStream out) {
        return prepare(config, timedLoop, 0, tally, out);
    }

    /**
     * Waits until discovery has delivered a list, or until the time for that is over, counted from {@code beganNanos}
     * by {@link System#nanoTime}. The list that a gateway knew when it ended may be long out of date, with hosts that
     * have drained since, so no client connects before.
     */
    static void awaitFirstList(Gateway gateway, long beganNanos, PrintStream out) {
        try {
            gateway.firstListReceived().get(
                    TimeUnit.MILLISECONDS.toNanos(FIRST_LIST_TIMEOUT_MILLIS) - (System.nanoTime() - beganNanos),
                    TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            out.println("no list from discovery: starting with the known list");
            gateway.useKnownList();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);  // nothing interrupts this thread or fails the future
        }
    }

    /** Throws IllegalArgumentException if the address can't be bound. */
    static void listen(StartedGateway started, GatewayConfig config, PrintStream out) {
        ChannelFuture bound = started.clients().listen(config.listen()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalArgumentException("no listening on " + config.listen() + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        out.println("listening on " + started.clients().address());
    }

    /**
     * Finishes the requests accepted, logs that, and ends the process by {@code halt}, which doesn't return: otherwise
     * the virtual machine would exit with the signal's status, although it was stopped in order. The last line is
     * logged and the process ended in one turn of the event loop, where a running gateway logs all its lines, so that
     * none follows the last.
     */
    static void stop(EventLoop loop, HttpFront clients, PrintStream out, Runnable halt) {
        AtomicBoolean haltStarted = new AtomicBoolean();
        CountDownLatch ended = new CountDownLatch(1);
        loop.execute(() -> clients.stop(FINISH_TIMEOUT_MICROS, () -> {
            logAndHalt(haltStarted, "stopped", out, halt);
            ended.countDown();
        }));
        try {
            if (!ended.await(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                logAndHalt(haltStarted, "stopped with requests unanswered", out, halt);
                ended.await();  // the event loop was first, and is about to halt
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void logAndHalt(AtomicBoolean haltStarted, String lastLine, PrintStream out, Runnable halt) {
        if (!haltStarted.getAndSet(true)) {
            out.println(lastLine);
            halt.run();
        }
    }
}
