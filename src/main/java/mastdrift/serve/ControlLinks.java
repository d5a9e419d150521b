package mastdrift.serve;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import mastdrift.config.DistributionSettings;
import mastdrift.config.SecretRef;
import mastdrift.distribution.ControlMachine;
import mastdrift.distribution.edge.Transport;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;
import mastdrift.net.Addresses;
import mastdrift.peers.edge.PeerLinks;

/** Signed links to control machines, on an event loop of their own. */
final class ControlLinks implements AutoCloseable {

    /** Messages of {@link mastdrift.distribution.Message}. */
    static final byte CONFIG = 4;
    /** Messages of {@link mastdrift.distribution.ControlMessage}. */
    static final byte CONTROL = 5;
    /** Connections that a gateway or an operator opens, at most. */
    static final int OPENED_MOST = DistributionSettings.MACHINES_MOST;
    private static final long EVENT_INTERVAL_MILLIS = 5_000;
    private static final int SENDERS_MOST = 1_024;

    private final EventLoop loop;
    private final String name;
    private final PeerLinks links;
    private final Events events;
    private final Map<String, Long> emittedAt = new HashMap<>();

    /** Of a process of this name; the listener is told on the loop's thread, and what it throws ends nothing but that message. */
    ControlLinks(String thread, DistributionSettings settings, String name, Function<SecretRef, byte[]> secrets, Listener listener, Events events) {
        this.events = events;
        this.name = name;
        loop = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(thread, true), NioIoHandler.newFactory()).next();
        links = new PeerLinks(loop, settings.installation(), name, Math.max(OPENED_MOST, settings.connections()), new LinkListener(listener));
        configure(settings, secrets);
    }

    /** Is told of what comes. */
    interface Listener {

        /** A message; {@code reply} where it came on a connection that was opened here. */
        void received(String from, boolean reply, byte kind, byte[] message);

        /** The connection that was opened to a machine has ended. */
        void outboundClosed(String to);

        /** The connection that another opened has ended. */
        default void inboundClosed(String from) { }
    }

    private final class LinkListener implements PeerLinks.Listener {

        private final Listener listener;

        LinkListener(Listener listener) {
            this.listener = listener;
        }

        @Override
        public void received(String from, long generation, byte kind, byte[] message) {
            try {
                listener.received(from, generation == 0, kind, message);
            } catch (IllegalArgumentException e) {
                refused("peer_malformed", from, e.getMessage());
            }
        }

        /** An event at most once an interval, for each sender and each fault. */
        @Override
        public void refused(String what, String who, String text) {
            long now = System.nanoTime() / 1_000_000;
            String key = what + " " + who.replaceAll(":\\d+$", "");
            emittedAt.values().removeIf(at -> now - at > EVENT_INTERVAL_MILLIS);
            if (emittedAt.size() < SENDERS_MOST && emittedAt.putIfAbsent(key, now) == null) {
                events.event(Level.WARN, what, "from " + who + ": " + text, "peer", who);
            }
        }

        @Override
        public void outboundClosed(String to) {
            listener.outboundClosed(to);
        }

        @Override
        public void inboundClosed(String from) {
            listener.inboundClosed(from);
        }
    }

    EventLoop loop() {
        return loop;
    }

    PeerLinks links() {
        return links;
    }

    /** The links as configuration goes over them. */
    Transport transport() {
        return new Transport() {
            @Override
            public boolean send(String to, byte[] message) {
                return links.send(to, CONFIG, message);
            }

            @Override
            public boolean reply(String to, byte[] message) {
                return links.reply(to, CONFIG, message);
            }

            @Override
            public void leave(String to) {
                links.leave(to);
            }

            @Override
            public void drop(String from) {
                links.drop(from);
            }
        };
    }

    /** Keys and machines from now on. From any thread. */
    void configure(DistributionSettings settings, Function<SecretRef, byte[]> secrets) {
        List<byte[]> keys = settings.keys().stream().map(secrets).toList();
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        settings.machines().forEach(each -> addresses.put(each.name(), Addresses.parse(each.address())));
        addresses.remove(name);
        loop.execute(() -> {
            links.generation(1);  // a reply says 0
            links.keys(keys);
            links.addresses(addresses);
        });
    }

    /** As a subscriber knows them. */
    static List<ControlMachine> machines(List<DistributionSettings.Machine> of) {
        return of.stream().map(each -> new ControlMachine(each.name(), each.zone())).toList();
    }

    /** Ends at once. */
    @Override
    public void close() {
        if (!loop.isShuttingDown()) {
            loop.submit(links::close).syncUninterruptibly();
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
