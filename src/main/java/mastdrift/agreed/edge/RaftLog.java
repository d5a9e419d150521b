package mastdrift.agreed.edge;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import mastdrift.agreed.AgreedLog;
import mastdrift.agreed.Decisions;
import mastdrift.agreed.LogMembership;
import mastdrift.agreed.LogMembership.MemberRecord;
import mastdrift.agreed.LogMembership.Action;
import mastdrift.agreed.Voters;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.proto.RaftProtos.RaftConfigurationProto;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.protocol.SetConfigurationRequest;
import org.apache.ratis.server.DivisionInfo;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.storage.RaftStorage.StartupOption;
import org.apache.ratis.thirdparty.com.google.protobuf.UnsafeByteOperations;
import org.apache.ratis.util.ExitUtils;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/**
 * The agreed log on Apache Ratis. A voter has a folder and takes part once {@link LogMembership} says so; who isn't one passes its appends on and reads behind a voter. Whatever fails with the folder makes this member step aside with one
 * event; the gateway goes on.
 *
 * <p>Bounds: {@value #PENDING_MOST} appends that wait, {@value #WITHIN_MILLIS} ms for each, segments of 1 MiB, a snapshot every {@value #SNAPSHOT_EVERY} entries behind which the log is cut, two snapshots kept.
 */
public final class RaftLog implements AgreedLog, AutoCloseable {

    static final int PENDING_MOST = 256;
    static final long WITHIN_MILLIS = 5_000;
    static final long SNAPSHOT_EVERY = 5_000;
    private static final byte PROPOSE = 16;
    private static final byte FOLDER = 17;
    private static final byte FETCH = 18;
    private static final byte JOIN = 19;
    private static final byte TAKE_IN = 20;
    private static final byte NOT_LEADER = 9;
    private static final long MEET_MILLIS = 300;
    private static final long EPOCH_MILLIS = 5_000;
    private static final long FETCH_MILLIS = 300;
    private static final long ASK_MILLIS = 1_000;
    private static final long AGAIN_MILLIS = 100;
    private static final int FETCH_MOST = 64;
    private static final long CATCH_UP_MILLIS = 2_000;
    private static final SizeInBytes CHUNK = SizeInBytes.valueOf("128KB");
    private static final Snapshots SNAPSHOTS = new Snapshots(SNAPSHOT_EVERY, CHUNK);

    /**
     * What it is started with.
     *
     * @param name the gateway's
     * @param installation of gateways
     * @param begin the operator's word for this log: another one begins another
     * @param voters gateways that vote at its begin
     * @param folder where a voter keeps it
     * @param longAway microseconds for which a voter is away until another takes its place
     */
    public record Settings(String name, String installation, String begin, List<String> voters, Path folder, long longAway) { }

    /**
     * How the log is cut.
     *
     * @param every entries behind the last snapshot, one is taken
     * @param chunk bytes of the pieces in which another member is given one
     */
    record Snapshots(long every, SizeInBytes chunk) { }

    /** What is to be seen of it. */
    public record Status(String role, String why, String leader, long term, long last, Map<String, String> group) { }

    /** Is told of changes, by stable names; from any thread. */
    public interface Listener {
        /** {@code bad} is what somebody should look at. */
        void event(boolean bad, String name, String text, Object... fields);
    }

    private final Settings settings;
    private final Snapshots snapshots;
    private final Consumer<Decision> reader;
    private final Supplier<Collection<Voters.EligibleGateway>> gateways;
    private final Listener listener;
    private final ScheduledThreadPoolExecutor timer;
    private final RpcEndpoint rpc;
    private final SecureRandom random = new SecureRandom();
    private final ClientId client = ClientId.randomId();
    private final AtomicLong callIds = new AtomicLong();
    private final AtomicLong pending = new AtomicLong();
    private final Map<String, MemberRecord> answers = new ConcurrentHashMap<>();
    private final RaftGroupId groupId;
    private final ReplicatedStateMachine machine;
    private volatile MemberFile file;  // null for who is no voter, or stepped aside
    private volatile MemberRecord own;
    private volatile RaftServer server;
    private volatile String role = "waiting";
    private volatile String why = "";
    private volatile Decisions fetched = new Decisions();
    private volatile Map<String, String> group = Map.of();
    private final long openedAt = System.nanoTime();
    private String reportedLeader = "";
    private long lastRead;
    private long lastAppliedBefore = -1;  // the last entry of the own log, a while ago
    private boolean lagging;  // it was said that the own log stands still
    private boolean changing;
    private boolean confirmed;  // it is in the log's configuration, as the log itself says
    private boolean closed;

    /** Starts to meet the others; decisions go to a reader, in their order, on threads of the log. {@code gateways} are those that might vote. */
    public RaftLog(Settings settings, LogTransport transport, Consumer<Decision> reader, Supplier<Collection<Voters.EligibleGateway>> gateways, Listener listener) {
        this(settings, SNAPSHOTS, transport, reader, gateways, listener);
    }

    /** With snapshots of its own. */
    RaftLog(Settings settings, Snapshots snapshots, LogTransport transport, Consumer<Decision> reader, Supplier<Collection<Voters.EligibleGateway>> gateways, Listener listener) {
        this.settings = settings;
        this.snapshots = snapshots;
        this.reader = reader;
        this.gateways = gateways;
        this.listener = listener;
        groupId = RaftGroupId.valueOf(UUID.nameUUIDFromBytes((settings.installation() + '/' + settings.begin()).getBytes(StandardCharsets.UTF_8)));
        timer = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "agreed");
            thread.setDaemon(true);
            return thread;
        });
        timer.setRemoveOnCancelPolicy(true);
        machine = new ReplicatedStateMachine(this::read, this::configured);
        rpc = new RpcEndpoint(transport, timer, this::handle);
        ExitUtils.disableSystemExit();  // a log that fails must not end the gateway
        timer.execute(this::open);
    }

    /** Whether it was read behind a voter or of the own log: each once. */
    private synchronized void read(Decision decision) {
        if (decision.index() > lastRead) {
            lastRead = decision.index();
            reader.accept(decision);
        }
    }

    private void open() {
        try {
            file = new MemberFile(settings.folder());
            own = file.read(settings.begin(), random);
            if (!own.logId().equals(settings.begin())) {
                listener.event(false, "agreed_begin", "another log begins, by the operator's word \"" + settings.begin() + "\"; the one before was \"" + own.logId() + "\"");
                own = new MemberRecord(Long.toHexString(random.nextLong() >>> 16), settings.begin(), Map.of(), 0, Map.of());
            }
            file.write(own);
        } catch (IOException e) {
            stepAside("its folder can't be used: " + e.getMessage());
            return;
        }
        if (voter()) {
            meet();
            every(EPOCH_MILLIS, this::nextEpoch);
            every(CATCH_UP_MILLIS, this::catchUp);
        } else {
            role = "following";
            every(FETCH_MILLIS, this::fetch);
        }
        every(MEET_MILLIS, this::reportLeader);
        every(EPOCH_MILLIS, this::replaceLost);
    }

    private boolean voter() {
        return settings.voters().contains(settings.name()) || own.isBootstrapped();
    }

    private void every(long millis, Runnable what) {
        timer.scheduleWithFixedDelay(() -> {
            try {
                what.run();
            } catch (RuntimeException e) {  // or it would never run again
                listener.event(true, "agreed_fault", "fault in the agreed log: " + e);
            }
        }, millis, millis, TimeUnit.MILLISECONDS);
    }

    private void after(long millis, Runnable what) {
        try {
            timer.schedule(what, millis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            return;  // it is being closed
        }
    }

    private void stepAside(String reason) {
        role = "aside";
        why = reason;
        listener.event(true, "agreed_aside", "the agreed log goes on without this gateway: " + reason, "why", reason);
        RaftServer had = server;
        server = null;
        if (had != null) {
            close(had);
        }
    }

    // ---- meeting the others

    private byte[] folderBytes() throws IOException {
        return MemberFile.bytes(own);
    }

    private void received(String from, MemberRecord folder) {
        answers.put(from, folder);
        if (folder.logId().equals(settings.begin()) && folder.epoch() > own.peerEpochs().getOrDefault(folder.id(), 0L)) {
            own = own.withPeerEpoch(folder.id(), folder.epoch());
        }
    }

    private void sendFolder() {
        try {
            byte[] bytes = folderBytes();
            Collection<String> to = own.isBootstrapped() ? own.voterIds().keySet() : settings.voters();
            for (String other : to) {
                if (!other.equals(settings.name())) {
                    rpc.call(other, FOLDER, bytes, ASK_MILLIS).thenAccept(answer -> {
                        try {
                            MemberRecord folder = MemberFile.of(answer, other);
                            timer.execute(() -> received(other, folder));
                        } catch (IOException | RejectedExecutionException e) {
                            return;  // no answer, then
                        }
                    });
                }
            }
        } catch (IOException e) {
            stepAside("its folder can't be told: " + e.getMessage());
        }
    }

    private void meet() {
        if (closed || role.equals("aside") || role.equals("voter")) {
            return;
        }
        Action step = LogMembership.nextAction(settings.name(), own, settings.voters(), Map.copyOf(answers), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - openedAt));
        if (step instanceof Action.Participate take) {
            takePart(take.voterIds(), "voter");
            return;
        } else if (step instanceof Action.Withdraw stepAside) {
            stepAside(stepAside.reason());
            return;
        } else if (step instanceof Action.Rejoin anew) {
            if (!role.equals("joining")) {
                role = "joining";
                why = anew.reason();
                listener.event(true, "agreed_joins", "joins the agreed log under a new identity: " + anew.reason(), "id", own.id());
            }
            joinAnew(anew.voterIds());
        } else if (step instanceof Action.Wait wait) {
            why = wait.reason();
        }
        sendFolder();
        after(MEET_MILLIS, this::meet);
    }

    private void nextEpoch() {
        if (server == null) {
            return;
        }
        if (server.getLifeCycleState() == LifeCycle.State.CLOSED || server.getLifeCycleState() == LifeCycle.State.EXCEPTION || divisionDead()) {
            stepAside("its log has failed; see the events before");
            return;
        }
        // Who was cut off while another took its place is told by nobody but those it asks.
        if (LogMembership.nextAction(settings.name(), own, settings.voters(), Map.copyOf(answers), LogMembership.MAX_WAIT_FOR_ALL_MILLIS) instanceof Action.Withdraw replaced) {
            stepAside(replaced.reason());
            role = "following";
            every(FETCH_MILLIS, this::fetch);
            return;
        }
        own = own.withNextEpoch();
        try {
            file.write(own);
        } catch (IOException e) {
            stepAside("its folder can't be written: " + e.getMessage());
            return;
        }
        sendFolder();
    }

    private boolean divisionDead() {
        try {
            return !server.getDivision(groupId).getInfo().isAlive();
        } catch (IOException e) {
            return true;
        }
    }

    private void takePart(Map<String, String> voters, String as) {
        try {
            own = own.withVoters(voters).withNextEpoch();  // not at each start: an older copy would catch up by being started often
            file.write(own);
            sendFolder();
            group = own.voterIds();
            role = as;
            why = "";
            server = start(voters);
            listener.event(false, "agreed_part", "takes part in the agreed log with " + String.join(", ", voters.keySet()), "id", own.id());
        } catch (IOException | RuntimeException e) {
            stepAside("its log can't be started: " + e);
        }
    }

    private static RaftPeer peer(String name, String id) {
        return RaftPeer.newBuilder().setId(PeerRpc.id(name, id)).setAddress(name).build();
    }

    private static List<RaftPeer> peers(Map<String, String> voters) {
        List<RaftPeer> peers = new ArrayList<>();
        voters.forEach((name, id) -> peers.add(peer(name, id)));
        return peers;
    }

    private RaftServer start(Map<String, String> voters) throws IOException {
        RaftProperties properties = new RaftProperties();
        // One folder a log: the library would go on with all that it finds in one.
        RaftServerConfigKeys.setStorageDir(properties, List.of(settings.folder().resolve("raft-" + groupId.getUuid()).toFile()));
        RaftConfigKeys.Rpc.setType(properties, new PeerRpcType());
        RaftServerConfigKeys.Rpc.setTimeoutMin(properties, TimeDuration.valueOf(800, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Rpc.setTimeoutMax(properties, TimeDuration.valueOf(1_600, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(properties, TimeDuration.valueOf(300, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(properties, TimeDuration.valueOf(900, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Rpc.setRequestTimeout(properties, TimeDuration.valueOf(1, TimeUnit.SECONDS));
        RaftServerConfigKeys.LeaderElection.setPreVote(properties, true);
        RaftServerConfigKeys.Log.setSegmentSizeMax(properties, SizeInBytes.valueOf("1MB"));
        RaftServerConfigKeys.Log.setPreallocatedSize(properties, SizeInBytes.valueOf("64KB"));
        RaftServerConfigKeys.Log.setWriteBufferSize(properties, SizeInBytes.valueOf("256KB"));
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(properties, true);
        RaftServerConfigKeys.Log.setPurgeGap(properties, 64);
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(properties, CHUNK);
        RaftServerConfigKeys.Log.Appender.setSnapshotChunkSizeMax(properties, snapshots.chunk());
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, snapshots.every());
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, 2);
        Parameters parameters = new Parameters();
        parameters.put(PeerRpcType.ENDPOINT, rpc, RpcEndpoint.class);
        RaftServer made = RaftServer.newBuilder().setServerId(RaftPeerId.valueOf(PeerRpc.id(settings.name(), own.id())))
                .setGroup(RaftGroup.valueOf(groupId, peers(voters))).setStateMachine(machine).setOption(StartupOption.RECOVER).setProperties(properties)
                .setParameters(parameters).build();
        made.start();
        return made;
    }

    // ---- who votes, as it changes

    /** The voters are these from an entry on; on the library's thread. */
    private void configured(long index, RaftConfigurationProto configuration) {
        Map<String, String> now = new TreeMap<>();
        configuration.getPeersList().forEach(each -> {
            String id = each.getId().toStringUtf8();
            int between = id.indexOf('/');
            now.put(id.substring(0, Math.max(0, between)), id.substring(between + 1));
        });
        after(0, () -> {
            boolean in = now.containsValue(own.id());
            if (!in && !confirmed) {
                return;  // of the time before it was taken in, which it reads on its way
            }
            if (!now.equals(group) && !group.isEmpty()) {
                listener.event(false, "agreed_voters", "voters of the agreed log are " + now.keySet() + " from entry " + index + " on", "index", index);
            }
            group = now;
            if (!in) {
                stepAside("another was taken into the log in place of this folder");
                return;
            }
            confirmed = true;
            own = own.withVoters(now);
            try {
                file.write(own);
            } catch (IOException e) {
                stepAside("its folder can't be written: " + e.getMessage());
                return;
            }
            if (role.equals("joining")) {
                role = "voter";
                why = "";
                listener.event(false, "agreed_part", "takes part in the agreed log with " + String.join(", ", now.keySet()), "id", own.id());
            }
        });
    }

    private void joinAnew(Map<String, String> now) {
        Map<String, String> next = new TreeMap<>(now);
        next.put(settings.name(), own.id());
        if (server == null) {
            try {
                server = start(next);  // empty, and in nobody's configuration: its vote counts for nothing until it has caught up
            } catch (IOException | RuntimeException e) {
                stepAside("its log can't be started: " + e);
                return;
            }
        }
        for (String other : now.keySet()) {
            if (!other.equals(settings.name())) {
                rpc.call(other, JOIN, own.id().getBytes(StandardCharsets.UTF_8), WITHIN_MILLIS);
            }
        }
    }

    /** On the leader: one folder in place of another, one change at a time. */
    private CompletableFuture<Boolean> change(String out, String in, String id) {
        RaftServer mine = server;
        if (mine == null || changing || !isLeader() || id.equals(group.get(in))) {
            return CompletableFuture.completedFuture(false);
        }
        changing = true;
        Map<String, String> next = new TreeMap<>(group);
        next.remove(out);
        next.put(in, id);
        listener.event(false, "agreed_replaces", "the agreed log takes in " + in + " in place of " + out, "gateway", in, "id", id);
        try {
            return mine.setConfigurationAsync(new SetConfigurationRequest(client, mine.getId(), groupId, callIds.incrementAndGet(), peers(next)))
                    .handle((reply, fault) -> {
                        after(0, () -> changing = false);
                        return fault == null && reply.isSuccess();
                    });
        } catch (IOException e) {
            changing = false;
            return CompletableFuture.completedFuture(false);
        }
    }

    /** On the leader: a voter that is away for long gives its place to a gateway that is there. */
    private void replaceLost() {
        if (!isLeader() || changing) {
            return;
        }
        String[] change = Voters.replacement(group.keySet(), gateways.get(), settings.longAway());
        if (change == null) {
            return;
        }
        Map<String, String> with = group;
        rpc.call(change[1], FOLDER, new byte[0], ASK_MILLIS).thenAccept(answer -> {
            try {
                String id = MemberFile.of(answer, change[1]).id();
                Map<String, String> next = new TreeMap<>(with);
                next.remove(change[0]);
                next.put(change[1], id);
                rpc.call(change[1], TAKE_IN, MemberFile.bytes(new MemberRecord(id, settings.begin(), next, 0, Map.of())), ASK_MILLIS)
                        .thenAccept(ready -> after(0, () -> change(change[0], change[1], id)));
            } catch (IOException e) {
                return;  // tried again
            }
        });
    }

    // ---- requests of others

    private byte[] handle(String from, byte kind, byte[] request) throws IOException {
        switch (kind) {
            case FOLDER -> {
                if (own == null) {
                    throw new IOException("not yet");
                }
                if (request.length > 0) {
                    MemberRecord folder = MemberFile.of(request, from);
                    timer.execute(() -> received(from, folder));
                }
                return folderBytes();
            }
            case FETCH -> {
                return entriesAfter(ByteBuffer.wrap(request).getLong());
            }
            case PROPOSE -> {
                if (!isLeader()) {
                    return leaderHint();
                }
                return ReplicatedStateMachine.bytes(submit(request).join());
            }
            case JOIN -> {
                String id = new String(request, StandardCharsets.UTF_8);
                after(0, () -> change(from, from, id));
                return new byte[0];
            }
            case TAKE_IN -> {
                MemberRecord next = MemberFile.of(request, from);
                if (own == null || !next.id().equals(own.id()) || !next.logId().equals(settings.begin()) || own.isBootstrapped() || role.equals("aside")) {
                    throw new IOException("not this folder");
                }
                after(0, () -> {
                    if (server == null) {
                        takePart(next.voterIds(), "joining");
                    }
                });
                return new byte[0];
            }
            default -> {
                RaftServer mine = server;
                byte[] answer = mine == null ? null : PeerRpc.handle(mine, kind, request);
                if (answer == null) {
                    throw new IOException("no part in the log");
                }
                return answer;
            }
        }
    }

    private byte[] leaderHint() {
        byte[] name = leader().getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + name.length).put(NOT_LEADER).put(name).array();
    }

    // ---- reading behind a voter

    private byte[] entriesAfter(long index) throws IOException {
        if (server == null) {
            throw new IOException("no part in the log");
        }
        byte[] voters = String.join(",", group.keySet()).getBytes(StandardCharsets.UTF_8);
        byte[] bytes = machine.part(index, FETCH_MOST);
        return ByteBuffer.allocate(Integer.BYTES + voters.length + bytes.length).putInt(voters.length).put(voters).put(bytes).array();
    }

    /** A voter whose own log stands still asks another one what was decided meanwhile, and reads that: its library may take no entry any more, though it votes and hears a leader. What comes of its own
        log later was read already. */
    private void catchUp() {
        if (server == null || !role.equals("voter")) {
            return;
        }
        long last = machine.last();
        boolean still = last == lastAppliedBefore;
        lastAppliedBefore = last;
        List<String> others = group.keySet().stream().filter(each -> !each.equals(settings.name())).toList();
        if (!still || others.isEmpty()) {
            lagging &= still;
            return;
        }
        byte[] from = ByteBuffer.allocate(Long.BYTES).putLong(readUpTo()).array();
        rpc.call(others.get(random.nextInt(others.size())), FETCH, from, ASK_MILLIS).thenAccept(answer -> after(0, () -> {
            List<Decision> missed = decisions(answer).retained().stream().filter(each -> each.index() > readUpTo()).toList();
            if (machine.last() != last || missed.isEmpty()) {
                return;
            }
            if (!lagging) {
                listener.event(true, "agreed_behind", "the own log stands still at entry " + last + ": decisions are read behind another voter", "index", last);
            }
            lagging = true;
            missed.forEach(this::read);
        }));
    }

    private synchronized long readUpTo() {
        return lastRead;
    }

    private static Decisions decisions(byte[] answer) {
        ByteBuffer in = ByteBuffer.wrap(answer);
        in.position(Integer.BYTES + in.getInt());
        byte[] bytes = new byte[in.remaining()];
        in.get(bytes);
        return Decisions.fromSnapshot(bytes);
    }

    private void fetch() {
        if (server != null) {
            return;
        }
        List<String> voters = group.isEmpty() ? settings.voters() : List.copyOf(group.keySet());
        String at = voters.get(random.nextInt(voters.size()));
        byte[] from = ByteBuffer.allocate(Long.BYTES).putLong(fetched.lastAppliedIndex()).array();
        rpc.call(at, FETCH, from, ASK_MILLIS).thenAccept(answer -> after(0, () -> {
            ByteBuffer in = ByteBuffer.wrap(answer);
            byte[] names = new byte[in.getInt()];
            in.get(names);
            Decisions read = decisions(answer);
            long before = fetched.lastAppliedIndex();
            if (read.lastAppliedIndex() > before) {
                fetched = read;
                read.retained().forEach(this::read);
            }
            Map<String, String> now = new TreeMap<>();
            for (String each : new String(names, StandardCharsets.UTF_8).split(",")) {
                now.put(each, "");
            }
            group = now;
        }));
    }

    // ---- appending

    private DivisionInfo info() {
        RaftServer mine = server;
        try {
            return mine == null ? null : mine.getDivision(groupId).getInfo();
        } catch (IOException e) {
            return null;
        }
    }

    private boolean isLeader() {
        DivisionInfo info = info();
        return info != null && info.isLeader();
    }

    /** The leader's gateway, as far as this member knows; empty where it knows none. */
    private String leader() {
        DivisionInfo info = info();
        RaftPeerId id = info == null ? null : info.getLeaderId();
        return id == null ? "" : PeerRpc.gateway(id);
    }

    private void reportLeader() {
        String now = leader();
        if (!now.isEmpty() && !now.equals(reportedLeader)) {
            reportedLeader = now;
            DivisionInfo info = info();
            listener.event(false, "agreed_leader", "the agreed log is led by " + now, "leader", now, "term", info == null ? 0 : info.getCurrentTerm());
        }
    }

    private CompletableFuture<AppendOutcome> submit(byte[] entry) {
        RaftServer mine = server;
        if (mine == null) {
            return CompletableFuture.completedFuture(new AppendOutcome.Unknown("no part in the log"));
        }
        RaftClientRequest request = RaftClientRequest.newBuilder().setClientId(client).setServerId(mine.getId()).setGroupId(groupId).setCallId(callIds.incrementAndGet())
                .setMessage(Message.valueOf(UnsafeByteOperations.unsafeWrap(entry))).setType(RaftClientRequest.writeRequestType()).build();
        try {
            return mine.submitClientRequestAsync(request).orTimeout(WITHIN_MILLIS, TimeUnit.MILLISECONDS).handle((reply, fault) -> outcome(reply, fault));
        } catch (IOException e) {
            return CompletableFuture.completedFuture(new AppendOutcome.Unknown(String.valueOf(e.getMessage())));
        }
    }

    /** What fails may have been passed on by a leader that is none any more: only an answer of the log itself is sure. */
    private static AppendOutcome outcome(RaftClientReply reply, Throwable fault) {
        if (fault != null) {
            return new AppendOutcome.Unknown(fault.getClass().getSimpleName());
        }
        return reply.isSuccess() ? ReplicatedStateMachine.outcome(reply.getMessage().getContent().toByteArray()) : new AppendOutcome.Unknown(reply.getException().getClass().getSimpleName());
    }

    @Override
    public void append(String id, byte[] command, Consumer<AppendOutcome> then) {
        byte[] entry;
        try {
            entry = Decisions.appendEntry(id, command);
        } catch (IllegalArgumentException e) {
            then.accept(new AppendOutcome.Rejected(e.getMessage()));
            return;
        }
        propose(entry, then);
    }

    @Override
    public void settle(String id, Consumer<AppendOutcome> then) {
        propose(Decisions.settleEntry(id), then);
    }

    private void propose(byte[] entry, Consumer<AppendOutcome> then) {
        if (pending.incrementAndGet() > PENDING_MOST) {
            pending.decrementAndGet();
            then.accept(new AppendOutcome.Unknown("expected at most " + PENDING_MOST + " that wait"));
            return;
        }
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WITHIN_MILLIS);
        propose(entry, until, "", outcome -> {
            pending.decrementAndGet();
            then.accept(outcome);
        });
    }

    /** At the leader, or at one who may know it; again and again until the time is up, since an entry counts once however often it comes. */
    private void propose(byte[] entry, long until, String hint, Consumer<AppendOutcome> then) {
        if (System.nanoTime() >= until || closed) {
            then.accept(new AppendOutcome.Unknown("no leader answered in time"));
            return;
        }
        String at = hint.isEmpty() ? leader() : hint;
        CompletableFuture<AppendOutcome> tried;
        String[] next = {""};
        if (at.equals(settings.name()) || isLeader()) {
            tried = submit(entry);
        } else {
            List<String> voters = group.isEmpty() ? settings.voters() : List.copyOf(group.keySet());
            String to = at.isEmpty() ? voters.get(random.nextInt(voters.size())) : at;
            tried = rpc.call(to, PROPOSE, entry, ASK_MILLIS * 2).handle((answer, fault) -> {
                if (fault != null) {
                    return new AppendOutcome.Unknown("no answer");
                }
                if (answer.length > 0 && answer[0] == NOT_LEADER) {
                    next[0] = new String(answer, 1, answer.length - 1, StandardCharsets.UTF_8);
                    return new AppendOutcome.Unknown("not the leader");
                }
                return ReplicatedStateMachine.outcome(answer);
            });
        }
        tried.thenAccept(outcome -> {
            if (outcome instanceof AppendOutcome.Unknown) {
                after(AGAIN_MILLIS, () -> propose(entry, until, Objects.equals(next[0], settings.name()) ? "" : next[0], then));
            } else {
                then.accept(outcome);
            }
        });
    }

    /** For operators. */
    public Status status() {
        DivisionInfo info = info();
        return new Status(role, why, info == null ? "" : leader(), info == null ? 0 : info.getCurrentTerm(), server == null ? fetched.lastAppliedIndex() : machine.last(),
                new HashMap<>(group));
    }

    private void close(RaftServer had) {
        try {
            had.close();
        } catch (IOException | RuntimeException e) {
            listener.event(true, "agreed_fault", "the agreed log did not end well: " + e);
        }
    }

    /** Ends its part; what waits is unknown. */
    @Override
    public void close() {
        closed = true;
        timer.shutdownNow();
        rpc.close();
        if (server != null) {
            close(server);
        }
    }
}
