package mastdrift.serve;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import mastdrift.agreed.edge.LogTransport;
import mastdrift.config.Configuration;
import mastdrift.config.GatewaySettings;
import mastdrift.config.PeerSettings;
import mastdrift.config.SecretRef;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;
import mastdrift.files.StatusFile;
import mastdrift.net.Addresses;
import mastdrift.peers.Digest;
import mastdrift.peers.Member;
import mastdrift.peers.MemberState;
import mastdrift.peers.MembershipList;
import mastdrift.peers.MembershipSettings;
import mastdrift.peers.PeerMessage;
import mastdrift.peers.Update;
import mastdrift.peers.edge.GenerationFile;
import mastdrift.peers.edge.PeerLinks;
import mastdrift.peers.edge.PeerMessageCodec;

/**
 * Membership of the other gateways, in a gateway that is configured from files, and the exchange of load digests with
 * them for the decision modules. Runs on an event loop of its own.
 */
final class PeerService implements AutoCloseable {

    private static final byte MEMBERSHIP_KIND = 1;
    private static final byte DIGEST_KIND = 2;
    private static final byte RAFT_KIND = 3;
    private static final long STATUS_INTERVAL_MILLIS = 500;
    private static final int MAX_INTERVALS_PER_STATUS = 10;  // the status is written at least every so many intervals
    private static final long LEAVE_DELAY_MILLIS = 300;
    private static final long EVENT_INTERVAL_MILLIS = 5_000;
    // A digest is sent to at most this many other gateways, in rotation.
    private static final int MAX_DIGEST_RECIPIENTS = 128;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("peers", true), NioIoHandler.newFactory()).next();
    private final ScheduledThreadPoolExecutor statusWriter = new ScheduledThreadPoolExecutor(1, new DefaultThreadFactory("peers-files", true));
    private final Events events;
    private final GatewaySettings gateway;
    private final PeerSettings settings;
    private final StatusFile statusFile;  // null if no status file is configured
    private final Function<SecretRef, byte[]> secrets;
    private final PeerLinks links;
    private final MembershipList membership;
    private final long generation;
    private final Map<String, Long> emittedAtMillis = new HashMap<>();
    private Consumer<Digest> digestConsumer = digest -> { };
    private volatile BiConsumer<String, byte[]> raftReceiver = (from, message) -> { };
    private volatile Supplier<Map<String, Object>> logStatus = () -> null;
    private volatile List<MembershipList.Entry> members = List.of();
    private Future<?> scheduledTick;
    private long scheduledTickAtMicros = Long.MAX_VALUE;
    private boolean changed = true;
    private int unchangedIntervals;
    private int digestRotation;

    /**
     * Reads the generation that an earlier process stored; to be called before the gateway serves, since it blocks on
     * the disk.
     */
    PeerService(Path file, Configuration configuration, Function<SecretRef, byte[]> secrets, long seed, Events events) {
        this.events = events;
        this.secrets = secrets;
        gateway = configuration.gateway();
        settings = configuration.peers();
        statusFile = settings.statusFile() == null ? null : new StatusFile(file, settings.statusFile());
        links = new PeerLinks(loop, settings.installation(), gateway.name(), settings.maxConnections(), new LinkListener());
        generation = generation(file);
        Member self = new Member(gateway.name(), generation, gateway.zone(), build(), fingerprint(configuration));
        membership = new MembershipList(self, MembershipSettings.DEFAULT, seed, nowMicros(), new MembershipActions());
        loop.submit(() -> applySettings(configuration)).syncUninterruptibly();
    }

    private long generation(Path file) {
        long wallMicros = Instant.now().toEpochMilli() * 1_000;
        if (settings.folder() == null) {
            return wallMicros;
        }
        GenerationFile generationFile;
        long next;
        try {
            generationFile = new GenerationFile(file.toAbsolutePath().resolveSibling(settings.folder()));
            next = generationFile.nextGeneration(wallMicros);
        } catch (IOException e) {
            events.event(Level.WARN, "peers_folder", "the folder of peers can't be used, the generation of this start is taken from the clock: " + e.getMessage());
            return wallMicros;
        }
        try {
            generationFile.write(next);
        } catch (IOException e) {  // still later than the last one; so is the next start's, as the clock advances
            events.event(Level.WARN, "peers_folder", "the folder of peers can't be written, the generation of this start is not stored: " + e.getMessage());
        }
        return next;
    }

    private static String build() {
        String version = PeerService.class.getPackage().getImplementationVersion();
        return version == null ? "unnamed" : version;
    }

    /** Fingerprint of the settings that all gateways should have in common, 12 hexadecimal digits. */
    private static String fingerprint(Configuration configuration) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(List.of(configuration.classes(), configuration.tenants(), configuration.routes(), configuration.gateway().zones(),
                    configuration.pools().keySet()).toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, 6);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);  // cannot happen: every Java platform has SHA-256
        }
    }

    /** Microseconds of the monotonic clock, which all processes of a machine share. */
    private static long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    /**
     * Listens for other gateways and starts to take part in the membership; throws IllegalArgumentException if it can't
     * listen.
     */
    void listen() {
        ChannelFuture bound = links.listen(Addresses.parse(settings.listen())).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalArgumentException("cannot listen for peers on " + settings.listen() + ": " + bound.cause().getMessage());
        }
        events.event(Level.INFO, "listening", "listening for peers on " + links.address(), "protocol", "peers", "address", links.address(),
                "life", membership.self().generation());
        loop.execute(this::tick);
        if (statusFile != null) {
            loop.scheduleWithFixedDelay(this::writeStatus, STATUS_INTERVAL_MILLIS, STATUS_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** The generation of this start. Membership may move to a larger one later, if this one turns out to be in use. */
    long generation() {
        return generation;
    }

    /** The zone of this gateway. */
    String zone() {
        return gateway.zone();
    }

    /** Applies a changed gateway's file. */
    void configure(Configuration next) {
        loop.execute(() -> {
            applySettings(next);
            if (!fingerprint(next).equals(membership.self().settingsFingerprint())) {
                membership.updateSelf(build(), fingerprint(next));
            }
        });
    }

    private void applySettings(Configuration next) {
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        next.peers().gateways().forEach((name, at) -> addresses.put(name, Addresses.parse(at)));
        links.setGeneration(membership.self().generation());
        links.setKeys(next.peers().keys().stream().map(secrets).toList());
        links.setAddresses(addresses);
        membership.setConfiguredNames(addresses.keySet());
    }

    // ---- load digests

    /** Sets the receiver of other gateways' digests; it is called on the event loop of this service. */
    void onDigest(Consumer<Digest> consumer) {
        loop.execute(() -> digestConsumer = consumer);
    }

    /** Sends this gateway's digest to others. */
    void sendDigest(Digest digest) {
        loop.execute(() -> {
            byte[] bytes = PeerMessageCodec.encode(digest);
            List<MembershipList.Entry> present = membership.entries().stream().filter(each -> each.update().state() == MemberState.ALIVE).toList();
            for (int i = 0; i < Math.min(MAX_DIGEST_RECIPIENTS, present.size()) && !membership.nameTaken(); i++) {
                links.send(present.get(digestRotation++ % present.size()).update().member().name(), DIGEST_KIND, bytes);
            }
        });
    }

    // ---- replicated log

    /** A transport for the messages of the replicated log. */
    LogTransport transport() {
        return new LogTransport() {
            @Override
            public void send(String gateway, byte[] message) {
                if (!loop.isShuttingDown()) {
                    loop.execute(() -> links.send(gateway, RAFT_KIND, message));
                }
            }

            @Override
            public void onMessage(BiConsumer<String, byte[]> receiver) {
                raftReceiver = receiver;
            }
        };
    }

    /** The members as of the last tick; may be called from any thread. */
    List<MembershipList.Entry> members() {
        return members;
    }

    /** Sets the supplier of the replicated log's part of the status file. */
    void logStatus(Supplier<Map<String, Object>> status) {
        logStatus = status;
    }

    // ---- membership

    private void tick() {
        try {
            membership.tick(nowMicros());
            members = membership.entries();
        } finally {  // or no further tick would be scheduled
            scheduleTick();
        }
    }

    private void scheduleTick() {
        long dueMicros = membership.nextTickMicros();
        if (dueMicros != scheduledTickAtMicros) {
            if (scheduledTick != null) {
                scheduledTick.cancel(false);
            }
            scheduledTickAtMicros = dueMicros;
            scheduledTick = dueMicros == Long.MAX_VALUE ? null : loop.schedule(() -> {
                scheduledTickAtMicros = Long.MAX_VALUE;
                tick();
            }, Math.max(0, dueMicros - nowMicros()), TimeUnit.MICROSECONDS);
        }
    }

    private final class MembershipActions implements MembershipList.Actions {

        @Override
        public void send(String to, PeerMessage message) {
            links.send(to, MEMBERSHIP_KIND, PeerMessageCodec.encode(message));
        }

        @Override
        public void event(MembershipList.Event event, Update update) {
            changed = true;
            boolean isWarning = event == MembershipList.Event.GONE || event == MembershipList.Event.SUSPECTED || event == MembershipList.Event.NAME_TAKEN;
            String name = event.name().toLowerCase(Locale.ROOT);
            events.event(isWarning ? Level.WARN : Level.INFO, "peer_" + name, "gateway " + update.member().name() + " " + name.replace('_', ' ')
                    + (event == MembershipList.Event.SUSPECTED || event == MembershipList.Event.GONE ? ", by " + update.reporter() : ""), "peer", update.member().name(), "zone", update.member().zone(),
                    "life", update.member().generation(), "incarnation", update.incarnation(), "by", update.reporter(),
                    "mono_us", nowMicros());
            loop.execute(() -> links.setGeneration(membership.self().generation()));
        }
    }

    private final class LinkListener implements PeerLinks.Listener {

        @Override
        public void received(String from, long generation, byte kind, byte[] message) {
            try {
                if (kind == MEMBERSHIP_KIND) {
                    membership.received(nowMicros(), from, generation, PeerMessageCodec.decodeMessage(message));
                    scheduleTick();
                } else if (kind == DIGEST_KIND) {
                    Digest digest = PeerMessageCodec.decodeDigest(message);
                    if (digest.name().equals(from)) {
                        digestConsumer.accept(digest);
                    }
                } else if (kind == RAFT_KIND) {
                    raftReceiver.accept(from, message);
                } else {
                    refused("peer_later", from, "a message of a kind that this build doesn't know: " + kind);
                }
            } catch (PeerMessageCodec.UnsupportedVersionException e) {
                refused("peer_later", from, e.getMessage());
            } catch (IllegalArgumentException e) {
                refused("peer_malformed", from, e.getMessage());
            }
        }

        /** Emits at most one event in {@link #EVENT_INTERVAL_MILLIS} for each sender and fault. */
        @Override
        public void refused(String eventName, String peer, String text) {
            long nowMillis = nowMicros() / 1_000;
            String key = eventName + " " + peer.replaceAll(":\\d+$", "");
            if (emittedAtMillis.size() < MAX_DIGEST_RECIPIENTS * 8 && nowMillis - emittedAtMillis.getOrDefault(key, nowMillis - EVENT_INTERVAL_MILLIS) >= EVENT_INTERVAL_MILLIS) {
                emittedAtMillis.put(key, nowMillis);
                events.event(Level.WARN, eventName, "from " + peer + ": " + text, "peer", peer);
            }
            emittedAtMillis.values().removeIf(at -> nowMillis - at > EVENT_INTERVAL_MILLIS * 10);
        }
    }

    // ---- the status file

    private void writeStatus() {
        if (!changed && ++unchangedIntervals < MAX_INTERVALS_PER_STATUS) {
            return;
        }
        changed = false;
        unchangedIntervals = 0;
        Map<String, Object> statusFields = status();
        try {
            statusWriter.execute(() -> {
                try {
                    statusFile.write(statusFields);
                } catch (IOException e) {
                    events.event(Level.ERROR, "status_unwritten", "status file of peers not written: " + e);
                }
            });
        } catch (RejectedExecutionException e) {
            return;  // the service is being closed
        }
    }

    private Map<String, Object> status() {
        long nowMicros = nowMicros();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("gateway", gateway.name());
        fields.put("at", Instant.now().toString());
        fields.put("mono_us", nowMicros);
        fields.put("zone", gateway.zone());
        fields.put("life", membership.self().generation());
        fields.put("build", membership.self().build());
        fields.put("settings", membership.self().settingsFingerprint());
        fields.put("name_taken", membership.nameTaken());
        fields.put("health", membership.healthScore());
        List<Map<String, Object>> members = new ArrayList<>();
        for (MembershipList.Entry each : membership.entries()) {
            Map<String, Object> member = new LinkedHashMap<>();
            Member of = each.update().member();
            member.put("name", of.name());
            member.put("standing", statusName(each.update().state()));
            member.put("since_ms", (nowMicros - each.stateSinceMicros()) / 1_000);
            member.put("heard_ms", each.lastHeardMicros() == 0 ? null : (nowMicros - each.lastHeardMicros()) / 1_000);
            member.put("zone", of.zone());
            member.put("life", of.generation());
            member.put("by", each.update().reporter());
            member.put("build", of.build());
            member.put("settings", of.settingsFingerprint());
            members.add(member);
        }
        fields.put("members", members);
        fields.put("links", links.outboundLinks());
        fields.put("log", logStatus.get());
        PeerLinks.Counts counts = links.counts();
        fields.put("counts", new LinkedHashMap<>(Map.of("sent", counts.sent(), "sent_bytes", counts.sentBytes(), "received", counts.received(),
                "received_bytes", counts.receivedBytes(), "dropped", counts.dropped(), "refused", counts.refused())));
        return fields;
    }

    /** The name of a state in the status file, which stays the same across builds. */
    static String statusName(MemberState state) {
        return switch (state) {
            case ALIVE -> "alive";
            case SUSPECT -> "suspected";
            case FAULTY -> "gone";
            case LEFT -> "left";
        };
    }

    /** Announces that this gateway leaves, then closes all links. */
    @Override
    public void close() {
        if (!loop.isShuttingDown()) {
            loop.submit(membership::leave).syncUninterruptibly();
            try {
                // gives the messages time to be sent; only this shutdown waits for them
                Thread.sleep(LEAVE_DELAY_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            loop.submit(links::close).syncUninterruptibly();
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
            statusWriter.shutdown();
        }
    }
}
