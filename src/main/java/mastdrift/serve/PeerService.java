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

/** The other gateways, in a gateway from files: who is there, on a thread of its own, and what they have out, for the modules. */
final class PeerService implements AutoCloseable {

    private static final byte MEMBERSHIP = 1;
    private static final byte DIGEST = 2;
    private static final byte AGREED = 3;
    private static final long STATUS_MILLIS = 500;
    private static final int STATUS_ANYWAY = 10;  // times that nothing has changed
    private static final long LEAVE_MILLIS = 300;
    private static final long SAID_EVERY_MILLIS = 5_000;
    // A digest goes to so many others at most, in their turns.
    private static final int TOLD_MOST = 128;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("peers", true), NioIoHandler.newFactory()).next();
    private final ScheduledThreadPoolExecutor writer = new ScheduledThreadPoolExecutor(1, new DefaultThreadFactory("peers-files", true));
    private final Events events;
    private final GatewaySettings gateway;
    private final PeerSettings settings;
    private final StatusFile status;  // null for nowhere
    private final Function<SecretRef, byte[]> secrets;
    private final PeerLinks links;
    private final MembershipList membership;
    private final long generation;
    private final Map<String, Long> saidAt = new HashMap<>();
    private Consumer<Digest> works = digest -> { };
    private volatile BiConsumer<String, byte[]> agreed = (from, message) -> { };
    private volatile Supplier<Map<String, Object>> log = () -> null;
    private volatile List<MembershipList.Entry> seen = List.of();
    private Future<?> armed;
    private long armedFor = Long.MAX_VALUE;
    private boolean changed = true;
    private int unchanged;
    private int told;

    /** Reads what an earlier process left; before the gateway serves, since it waits for the disk. */
    PeerService(Path file, Configuration configuration, Function<SecretRef, byte[]> secrets, long seed, Events events) {
        this.events = events;
        this.secrets = secrets;
        gateway = configuration.gateway();
        settings = configuration.peers();
        status = settings.statusFile() == null ? null : new StatusFile(file, settings.statusFile());
        links = new PeerLinks(loop, settings.installation(), gateway.name(), settings.connections(), new LinkListener());
        generation = generation(file);
        Member self = new Member(gateway.name(), generation, gateway.zone(), build(), fingerprint(configuration));
        membership = new MembershipList(self, MembershipSettings.USUAL, seed, now(), new MembershipActions());
        loop.submit(() -> put(configuration)).syncUninterruptibly();
    }

    private long generation(Path file) {
        long wall = Instant.now().toEpochMilli() * 1_000;
        if (settings.folder() == null) {
            return wall;
        }
        GenerationFile kept;
        long next;
        try {
            kept = new GenerationFile(file.toAbsolutePath().resolveSibling(settings.folder()));
            next = kept.next(wall);
        } catch (IOException e) {
            events.event(Level.WARN, "peers_folder", "the folder of peers can't be used, this start goes by its clock: " + e.getMessage());
            return wall;
        }
        try {
            kept.write(next);
        } catch (IOException e) {  // it is later than the last one all the same, and so is the next start's by a clock that goes on
            events.event(Level.WARN, "peers_folder", "the folder of peers can't be written, this start is not remembered: " + e.getMessage());
        }
        return next;
    }

    private static String build() {
        String version = PeerService.class.getPackage().getImplementationVersion();
        return version == null ? "unnamed" : version;
    }

    /** Of what all gateways should have alike, 12 hexadecimal digits. */
    private static String fingerprint(Configuration of) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(List.of(of.classes(), of.tenants(), of.routes(), of.gateway().zones(),
                    of.pools().keySet()).toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, 6);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);  // every Java has it
        }
    }

    /** Microseconds of the monotonic clock, which all processes of a machine share. */
    private static long now() {
        return System.nanoTime() / 1_000;
    }

    /** Throws IllegalArgumentException where it can't listen. Then it says hello. */
    void listen() {
        ChannelFuture bound = links.listen(Addresses.parse(settings.listen())).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalArgumentException("no listening for peers on " + settings.listen() + ": " + bound.cause().getMessage());
        }
        events.event(Level.INFO, "listening", "listening for peers on " + links.address(), "protocol", "peers", "address", links.address(),
                "life", membership.self().generation());
        loop.execute(this::tick);
        if (status != null) {
            loop.scheduleWithFixedDelay(this::write, STATUS_MILLIS, STATUS_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Of this start; a larger one may be taken later, where that one turns out to be used. */
    long generation() {
        return generation;
    }

    /** The gateway's. */
    String zone() {
        return gateway.zone();
    }

    /** The operator's file has changed. */
    void configure(Configuration next) {
        loop.execute(() -> {
            put(next);
            if (!fingerprint(next).equals(membership.self().settings())) {
                membership.changed(build(), fingerprint(next));
            }
        });
    }

    private void put(Configuration next) {
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        next.peers().gateways().forEach((name, at) -> addresses.put(name, Addresses.parse(at)));
        links.generation(membership.self().generation());
        links.keys(next.peers().keys().stream().map(secrets).toList());
        links.addresses(addresses);
        membership.configured(addresses.keySet());
    }

    // ---- work out

    /** Hears what others have out, on the peers' thread. */
    void works(Consumer<Digest> to) {
        loop.execute(() -> works = to);
    }

    /** Tells the others. */
    void tell(Digest digest) {
        loop.execute(() -> {
            byte[] bytes = PeerMessageCodec.bytes(digest);
            List<MembershipList.Entry> present = membership.entries().stream().filter(each -> each.update().state() == MemberState.ALIVE).toList();
            for (int i = 0; i < Math.min(TOLD_MOST, present.size()) && !membership.nameTaken(); i++) {
                links.send(present.get(told++ % present.size()).update().member().name(), DIGEST, bytes);
            }
        });
    }

    // ---- the agreed log

    /** Links for it. */
    LogTransport transport() {
        return new LogTransport() {
            @Override
            public void send(String gateway, byte[] message) {
                if (!loop.isShuttingDown()) {
                    loop.execute(() -> links.send(gateway, AGREED, message));
                }
            }

            @Override
            public void onMessage(BiConsumer<String, byte[]> receiver) {
                agreed = receiver;
            }
        };
    }

    /** Who is there, as of a moment ago; from any thread. */
    List<MembershipList.Entry> seen() {
        return seen;
    }

    /** What the status file says of the log. */
    void log(Supplier<Map<String, Object>> status) {
        log = status;
    }

    // ---- who is there

    private void tick() {
        try {
            membership.tick(now());
            seen = membership.entries();
        } finally {  // or no tick would ever come again
            arm();
        }
    }

    private void arm() {
        long due = membership.dueAt();
        if (due != armedFor) {
            if (armed != null) {
                armed.cancel(false);
            }
            armedFor = due;
            armed = due == Long.MAX_VALUE ? null : loop.schedule(() -> {
                armedFor = Long.MAX_VALUE;
                tick();
            }, Math.max(0, due - now()), TimeUnit.MICROSECONDS);
        }
    }

    private final class MembershipActions implements MembershipList.Actions {

        @Override
        public void send(String to, PeerMessage message) {
            links.send(to, MEMBERSHIP, PeerMessageCodec.bytes(message));
        }

        @Override
        public void event(MembershipList.Event event, Update of) {
            changed = true;
            boolean bad = event == MembershipList.Event.GONE || event == MembershipList.Event.SUSPECTED || event == MembershipList.Event.NAME_TAKEN;
            String name = event.name().toLowerCase(Locale.ROOT);
            events.event(bad ? Level.WARN : Level.INFO, "peer_" + name, "gateway " + of.member().name() + " " + name.replace('_', ' ')
                    + (event == MembershipList.Event.SUSPECTED || event == MembershipList.Event.GONE ? ", by " + of.by() : ""), "peer", of.member().name(), "zone", of.member().zone(),
                    "life", of.member().generation(), "incarnation", of.incarnation(), "by", of.by(), "mono_us", now());
            loop.execute(() -> links.generation(membership.self().generation()));
        }
    }

    private final class LinkListener implements PeerLinks.Listener {

        @Override
        public void received(String from, long generation, byte kind, byte[] message) {
            try {
                if (kind == MEMBERSHIP) {
                    membership.received(now(), from, generation, PeerMessageCodec.message(message));
                    arm();
                } else if (kind == DIGEST) {
                    Digest digest = PeerMessageCodec.digest(message);
                    if (digest.name().equals(from)) {
                        works.accept(digest);
                    }
                } else if (kind == AGREED) {
                    agreed.accept(from, message);
                } else {
                    refused("peer_later", from, "a message of a kind that this build doesn't know: " + kind);
                }
            } catch (PeerMessageCodec.UnsupportedVersionException e) {
                refused("peer_later", from, e.getMessage());
            } catch (IllegalArgumentException e) {
                refused("peer_malformed", from, e.getMessage());
            }
        }

        /** Once in a while for each gateway and fault. */
        @Override
        public void refused(String what, String who, String text) {
            long now = now() / 1_000;
            String key = what + " " + who.replaceAll(":\\d+$", "");
            if (saidAt.size() < TOLD_MOST * 8 && now - saidAt.getOrDefault(key, now - SAID_EVERY_MILLIS) >= SAID_EVERY_MILLIS) {
                saidAt.put(key, now);
                events.event(Level.WARN, what, "from " + who + ": " + text, "peer", who);
            }
            saidAt.values().removeIf(at -> now - at > SAID_EVERY_MILLIS * 10);
        }
    }

    // ---- the status file

    private void write() {
        if (!changed && ++unchanged < STATUS_ANYWAY) {
            return;
        }
        changed = false;
        unchanged = 0;
        Map<String, Object> now = status();
        try {
            writer.execute(() -> {
                try {
                    status.write(now);
                } catch (IOException e) {
                    events.event(Level.ERROR, "status_unwritten", "status file of peers not written: " + e);
                }
            });
        } catch (RejectedExecutionException e) {
            return;  // it is being closed
        }
    }

    private Map<String, Object> status() {
        long now = now();
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("gateway", gateway.name());
        all.put("at", Instant.now().toString());
        all.put("mono_us", now);
        all.put("zone", gateway.zone());
        all.put("life", membership.self().generation());
        all.put("build", membership.self().build());
        all.put("settings", membership.self().settings());
        all.put("name_taken", membership.nameTaken());
        all.put("health", membership.health());
        List<Map<String, Object>> members = new ArrayList<>();
        for (MembershipList.Entry each : membership.entries()) {
            Map<String, Object> member = new LinkedHashMap<>();
            Member of = each.update().member();
            member.put("name", of.name());
            member.put("standing", standing(each.update().state()));
            member.put("since_ms", (now - each.since()) / 1_000);
            member.put("heard_ms", each.heardAt() == 0 ? null : (now - each.heardAt()) / 1_000);
            member.put("zone", of.zone());
            member.put("life", of.generation());
            member.put("by", each.update().by());
            member.put("build", of.build());
            member.put("settings", of.settings());
            members.add(member);
        }
        all.put("members", members);
        all.put("links", links.links());
        all.put("log", log.get());
        PeerLinks.Counts counts = links.counts();
        all.put("counts", new LinkedHashMap<>(Map.of("sent", counts.sent(), "sent_bytes", counts.sentBytes(), "received", counts.received(),
                "received_bytes", counts.receivedBytes(), "dropped", counts.dropped(), "refused", counts.refused())));
        return all;
    }

    /** A state as the status file names it since the first build. */
    static String standing(MemberState state) {
        return switch (state) {
            case ALIVE -> "alive";
            case SUSPECT -> "suspected";
            case FAULTY -> "gone";
            case LEFT -> "left";
        };
    }

    /** Says that it ends, then ends. */
    @Override
    public void close() {
        if (!loop.isShuttingDown()) {
            loop.submit(membership::leave).syncUninterruptibly();
            try {
                Thread.sleep(LEAVE_MILLIS);  // the messages are on their way; nobody waits for them but this end
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            loop.submit(links::close).syncUninterruptibly();
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
            writer.shutdown();
        }
    }
}
