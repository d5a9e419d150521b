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
import mastdrift.distribution.edge.ControlTransport;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;
import mastdrift.net.Addresses;
import mastdrift.peers.edge.PeerLinks;

/** Authenticated links to control machines, on an event loop of their own. */
final class ControlLinks implements AutoCloseable {

    /** Kind of the messages of {@link mastdrift.distribution.Message}. */
    static final byte CONFIG_KIND = 4;
    /** Kind of the messages of {@link mastdrift.distribution.ControlMessage}. */
    static final byte CONTROL_KIND = 5;
    /** Connections that a gateway or an operator's client may open. */
    static final int MAX_OUTBOUND_CONNECTIONS = DistributionSettings.MAX_MACHINES;
    private static final long EVENT_INTERVAL_MILLIS = 5_000;
    private static final int MAX_RATE_LIMITED_SENDERS = 1_024;

    private final EventLoop loop;
    private final String name;
    private final PeerLinks links;
    private final Events events;
    private final Map<String, Long> emittedAtMillis = new HashMap<>();

    /**
     * Links of the process with this name. The listener is called on the event loop; an IllegalArgumentException that
     * it throws discards only that message.
     */
    ControlLinks(String threadName, DistributionSettings settings, String name, Function<SecretRef, byte[]> secrets, Listener listener, Events events) {
        this.events = events;
        this.name = name;
        loop = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(threadName, true), NioIoHandler.newFactory()).next();
        links = new PeerLinks(loop, settings.installation(), name, Math.max(MAX_OUTBOUND_CONNECTIONS, settings.maxConnections()), new LinkListener(listener));
        configure(settings, secrets);
    }

    /** Receives messages and closed connections, on the event loop. */
    interface Listener {

        /** A message; {@code reply} is true if it came on a connection that this process opened. */
        void received(String from, boolean reply, byte kind, byte[] message);

        /** The connection that this process opened to a machine has been closed. */
        void outboundClosed(String to);

        /** A connection that another process opened has been closed. */
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

        /** Emits at most one event in {@link #EVENT_INTERVAL_MILLIS} for each sender and fault. */
        @Override
        public void refused(String eventName, String peer, String text) {
            long nowMillis = System.nanoTime() / 1_000_000;
            String key = eventName + " " + peer.replaceAll(":\\d+$", "");
            emittedAtMillis.values().removeIf(at -> nowMillis - at > EVENT_INTERVAL_MILLIS);
            if (emittedAtMillis.size() < MAX_RATE_LIMITED_SENDERS
                    && emittedAtMillis.putIfAbsent(key, nowMillis) == null) {
                events.event(Level.WARN, eventName, "from " + peer + ": " + text, "peer", peer);
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

    /** The links as a transport for the messages that distribute configuration. */
    ControlTransport transport() {
        return new ControlTransport() {
            @Override
            public boolean send(String to, byte[] message) {
                return links.send(to, CONFIG_KIND, message);
            }

            @Override
            public boolean reply(String to, byte[] message) {
                return links.reply(to, CONFIG_KIND, message);
            }

            @Override
            public void closeOutbound(String to) {
                links.closeOutbound(to);
            }

            @Override
            public void closeInbound(String from) {
                links.closeInbound(from);
            }
        };
    }

    /** Replaces keys and machines. May be called from any thread. */
    void configure(DistributionSettings settings, Function<SecretRef, byte[]> secrets) {
        List<byte[]> keys = settings.keys().stream().map(secrets).toList();
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        settings.machines().forEach(each -> addresses.put(each.name(), Addresses.parse(each.address())));
        addresses.remove(name);
        loop.execute(() -> {
            links.setGeneration(1);  // 0 marks a reply
            links.setKeys(keys);
            links.setAddresses(addresses);
        });
    }

    /** The machines in the form that a subscription takes. */
    static List<ControlMachine> subscriptionMachines(List<DistributionSettings.Machine> machines) {
        return machines.stream().map(each -> new ControlMachine(each.name(), each.zone())).toList();
    }

    /** Closes all connections and stops the event loop. */
    @Override
    public void close() {
        if (!loop.isShuttingDown()) {
            loop.submit(links::close).syncUninterruptibly();
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
