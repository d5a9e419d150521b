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

/** One real gateway: wires its parts, reads its configuration again at SIGHUP, and ends them at SIGTERM. */
public final class Main {

    // Of the descriptors: for the program's own files, discovery, and connections that come and go.
    private static final int RESERVED = 96;
    private static final String TALLY = "--tally";
    // After SIGTERM the platform waits for the longest deadline, but 3 s at most, and 0.7 s more, before it kills (PROTOCOL, Figures).
    private static final long STOP_LONGEST = 3_000_000;
    private static final int STOP_SECONDS = 4;
    // So long after its first moment a start goes by the list that was known: all that had been listed before it counts as told by then,
    // heard or not (PROTOCOL), so that waiting on protects from nothing, and its clients may have nobody else meanwhile.
    private static final long TOLD_MILLIS = 6_000;
    // First calls of gateways that start together are spread over so long, about what a rehearsal takes.
    private static final long FIRST_CALLS_MILLIS = 2_000;
    private static final double GOLDEN = (Math.sqrt(5) - 1) / 2;

    // Kept, since a logger that nobody holds forgets its level.
    private static final Logger LIBRARY_LOG = Logger.getLogger("io.netty");

    private Main() { }

    /** Runs until SIGTERM; exits with status 2 where the configuration can't be run with. One word, {@value #TALLY}, has it write
        what it counts to its log, a line a second. */
    public static void main(String[] args) {
        long began = System.nanoTime();
        boolean tally = args.length == 1 && args[0].equals(TALLY);
        if (args.length > 0 && !tally) {
            System.err.println("can't start: expected " + TALLY + " or nothing, found " + String.join(" ", args));
            System.exit(2);
        }
        quiet();
        TimedEventLoop timed = TimedEventLoop.start();
        EventLoop loop = timed.loop();
        CompletableFuture<Gateway> started = new CompletableFuture<>();
        // First of all, or the signal would end the program. One that comes ahead of the gateway is heard once there is one.
        onHangUp(() -> started.thenAccept(gateway -> reload(gateway, loop)));
        try {
            Config config = Config.read(System.getenv());
            Started now = prepare(config, timed, askMillis(config.settings()), tally, System.out);  // asks discovery, whose answer takes its time
            // Ahead of the first client: a signal between the two would end the program, and with it what had been taken.
            HttpFront clients = now.clients();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(loop, clients, System.out, () -> Runtime.getRuntime().halt(0))));
            started.complete(now.gateway());  // discovery may move while it is waited for
            open(now, loop, config, TimedEventLoop.start(), began, System.out);
            listen(now, config, System.out);
        } catch (IllegalArgumentException | CompletionException e) {
            Throwable cause = e instanceof CompletionException ? e.getCause() : e;
            System.err.println("can't start: " + cause.getMessage());
            System.exit(2);
        }
    }

    /** What the library says is not heard; ahead of its first class. */
    static void quiet() {
        // The library logs a failed accept; out of descriptors the log's own files can't be opened, and the error that
        // comes of it would end the loop's thread and with it the gateway.
        LIBRARY_LOG.setLevel(Level.OFF);
        // Netty would look for other logging libraries, which are there for the other commands, and load what it finds.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /** What comes ahead of the first client: the gateway has been told of the hosts, or has waited for that in vain since {@code began},
        by {@link System#nanoTime}; meanwhile the path of a request is {@code rehearsed}, on a loop that this ends. */
    static void open(Started now, EventLoop loop, Config config, TimedEventLoop rehearsed, long began, PrintStream out) {
        rehearse(config, rehearsed, out::println);
        loop.execute(now.gateway()::ask);
        awaitList(now.gateway(), began, out);
    }

    /** When this gateway calls discovery first, in milliseconds from its start. Where calls wait for their turn and many gateways start at
        once, those that call last wait for all others, and a call that is refused after its wait has cost discovery as much as any.
        Nothing is lost by calling late while a rehearsal plays. Multiples of the golden ratio leave even gaps for any run of gateways'
        numbers, and nearly even ones for any part of them. */
    static long askMillis(Settings settings) {
        double part = settings.site().me() * GOLDEN;
        return settings.registryOnRequest() ? (long) ((part - Math.floor(part)) * FIRST_CALLS_MILLIS) : 0;
    }

    static void rehearse(Config config, TimedEventLoop on, Consumer<String> log) {
        PrintStream silent = new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
        Rehearsal.play((hosts, at) -> Started.with(new Config(at, at, config.sockets(), new HostList(0, true, hosts),
                config.settings()), on, hosts.size() * 2, hosts.size(), hosts.size(), false,
                silent).clients(),
                config.settings().classes(), config.settings().tenants(), config.settings().site().zone(),
                config.listen().getAddress(), on.loop(), log);
    }

    /** The only way to hear a signal that is not the end of the program; javac warns of the package, whatever is asked. */
    private static void onHangUp(Runnable then) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> then.run());
    }

    /** Takes from the configuration where discovery is; one that can't be read changes nothing. Signals come on threads of their own: one at a time, or what
        was read first might be taken last. */
    private static synchronized void reload(Gateway gateway, EventLoop loop) {
        try {
            InetSocketAddress discovery = Config.discovery(System.getenv());
            loop.execute(() -> gateway.discoverAt(discovery));
        } catch (IllegalArgumentException e) {
            loop.execute(() -> gateway.log("configuration not taken: " + e.getMessage()));
        }
    }

    /** A gateway and its front. */
    record Started(Gateway gateway, HttpFront clients) {

        /** On the loop's thread. */
        static Started with(Config config, TimedEventLoop loop, int hostConnections, int openMost, int clients, boolean tally,
                PrintStream out) {
            Gateway gateway = new Gateway(config, loop, new Balance(), hostConnections, openMost, tally, out);
            return new Started(gateway, new HttpFront(loop.loop(), gateway.ledger(), gateway, config.settings().classes(),
                    config.settings().tenants(), clients, gateway::log));
        }
    }

    /** Starts a gateway on the loop, not yet listening; throws IllegalArgumentException for a configuration it can't run with. It calls
        discovery after {@code askMillis} at the earliest, or once it is told to. */
    static Started prepare(Config config, TimedEventLoop loop, long askMillis, boolean tally, PrintStream out) {
        // Of the clients' half, an eighth is for answering those that come beyond the requests held.
        int sockets = Math.min(Math.min(config.sockets(), Descriptors.limit()), 1 << 16);
        int most = Math.max(8, (sockets - RESERVED) / 2);
        return CompletableFuture.supplyAsync(() -> {
            Started started = Started.with(config, loop, most, most - most / 8, most, tally, out);
            if (askMillis > 0) {
                started.gateway().hold();
                loop.loop().schedule(started.gateway()::ask, askMillis, TimeUnit.MILLISECONDS);
            }
            return started;
        }, loop.loop()).join();
    }

    /** Likewise, with no call to discovery held back. */
    static Started prepare(Config config, TimedEventLoop loop, boolean tally, PrintStream out) {
        return prepare(config, loop, 0, tally, out);
    }

    /** What a gateway knew when it ended may be long over, hosts that have drained since among it: clients come to one that has
        been told what there is now, or that has waited for that in vain since {@code began}, by {@link System#nanoTime}. */
    static void awaitList(Gateway gateway, long began, PrintStream out) {
        try {
            gateway.told().get(TimeUnit.MILLISECONDS.toNanos(TOLD_MILLIS) - (System.nanoTime() - began), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            out.println("discovery tells nothing: going by the list that was known");
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);  // nobody does either
        }
    }

    /** Throws IllegalArgumentException where it can't listen. */
    static void listen(Started started, Config config, PrintStream out) {
        ChannelFuture bound = started.clients().listen(config.listen()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalArgumentException("no listening on " + config.listen() + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        out.println("listening on " + started.clients().address());
    }

    /** Finishes what was taken, says so, and ends the program by {@code halt}, which doesn't return: the virtual machine would end with the signal's
        status, and what was asked for has been done. The last line and the end come in one turn of the loop, where a gateway that runs writes all its
        lines: none comes behind the last. */
    static void stop(EventLoop loop, HttpFront clients, PrintStream out, Runnable halt) {
        AtomicBoolean ending = new AtomicBoolean();
        CountDownLatch ended = new CountDownLatch(1);
        loop.execute(() -> clients.stop(STOP_LONGEST, () -> {
            end(ending, "stopped", out, halt);
            ended.countDown();
        }));
        try {
            if (!ended.await(STOP_SECONDS, TimeUnit.SECONDS)) {
                end(ending, "stopped with requests unanswered", out, halt);
                ended.await();  // the loop came first, and is about to
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void end(AtomicBoolean ending, String last, PrintStream out, Runnable halt) {
        if (!ending.getAndSet(true)) {
            out.println(last);
            halt.run();
        }
    }
}
