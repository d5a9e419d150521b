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
 * Replicated log on Apache Ratis. A voter has a data directory and takes part once {@link LogMembership} allows it; any
 * other gateway forwards its appends to the voters and fetches decisions from them. If the data directory fails, this
 * member withdraws from the log with one event, and the gateway goes on without it.
 *
 * <p>Bounds: {@value #MAX_PENDING_APPENDS} pending appends, {@value #APPEND_TIMEOUT_MILLIS} ms for each, segments of 1
 * MiB, a snapshot every {@value #SNAPSHOT_INTERVAL_ENTRIES} entries, up to which the log is then purged, two snapshots
 * retained.
 */
public final class RaftLog implements AgreedLog, AutoCloseable {

    static final int MAX_PENDING_APPENDS = 256;
    static final long APPEND_TIMEOUT_MILLIS = 5_000;
    static final long SNAPSHOT_INTERVAL_ENTRIES = 5_000;
    // Types of requests; those of PeerRpc are below 16.
    private static final byte PROPOSE = 16;
    private static final byte EXCHANGE_RECORDS = 17;
    private static final byte FETCH_DECISIONS = 18;
    private static final byte REJOIN = 19;
    private static final byte PREPARE_VOTER = 20;
    /** First byte of a response to PROPOSE that names the leader instead of an outcome. */
    private static final byte NOT_LEADER = 9;
    private static final long POLL_INTERVAL_MILLIS = 300;
    private static final long EPOCH_INTERVAL_MILLIS = 5_000;
    private static final long FETCH_INTERVAL_MILLIS = 300;
    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;
    private static final long RETRY_DELAY_MILLIS = 100;
    private static final int MAX_FETCHED_DECISIONS = 64;
    private static final long CATCH_UP_INTERVAL_MILLIS = 2_000;
    private static final SizeInBytes TRANSFER_CHUNK_SIZE = SizeInBytes.valueOf("128KB");
    private static final SnapshotSettings DEFAULT_SNAPSHOT_SETTINGS = new SnapshotSettings(SNAPSHOT_INTERVAL_ENTRIES,
            TRANSFER_CHUNK_SIZE);

    /**
     * Settings of a log.
     *
     * @param name of this gateway
     * @param installation name of the installation that the gateways belong to
     * @param logId chosen by the operator; a new id starts a new, empty log
     * @param voters gateways that vote when the log is bootstrapped
     * @param dataDirectory where this member stores its record and log
     * @param replaceAfterMicros how long a voter must have been away before another gateway replaces it
     */
    public record Settings(String name, String installation, String logId, List<String> voters, Path dataDirectory,
            long replaceAfterMicros) { }

    /**
     * Settings of snapshots.
     *
     * @param intervalEntries a snapshot is taken when the log has so many entries after the last one
     * @param chunkSize size of the chunks in which a snapshot is sent to another member
     */
    record SnapshotSettings(long intervalEntries, SizeInBytes chunkSize) { }

    /**
     * Status for operators.
     *
     * @param role waiting, joining, voter, following or aside
     * @param reason why the member waits, joins or takes no part; empty otherwise
     * @param leader name of the leader's gateway; empty where it is not known
     * @param term Raft term; 0 at a gateway that is not a member
     * @param lastIndex index of the last entry that was applied or fetched
     * @param voterIds ids of the voters by name; the ids are empty at a gateway that only fetches
     */
    public record Status(String role, String reason, String leader, long term, long lastIndex,
            Map<String, String> voterIds) { }

    /** Receives events about the log under stable names, on any thread. */
    public interface Listener {
        /** {@code warning} marks an event that an operator should look at. */
        void event(boolean warning, String name, String text, Object... fields);
    }

    private final Settings settings;
    private final SnapshotSettings snapshotSettings;
    private final Consumer<Decision> decisionConsumer;
    private final Supplier<Collection<Voters.EligibleGateway>> eligibleGateways;
    private final Listener listener;
    private final ScheduledThreadPoolExecutor timer;
    private final RpcEndpoint endpoint;
    private final SecureRandom random = new SecureRandom();
    private final ClientId clientId = ClientId.randomId();
    private final AtomicLong callIds = new AtomicLong();
    private final PendingAppends pendingAppends = new PendingAppends(MAX_PENDING_APPENDS);
    private final Map<String, MemberRecord> peerRecords = new ConcurrentHashMap<>();
    private final RaftGroupId groupId;
    private final ReplicatedStateMachine stateMachine;
    private volatile MemberFile memberFile;  // null before it is opened, and if the data directory can't be used
    private volatile MemberRecord ownRecord;
    private volatile RaftServer server;
    private volatile String role = "waiting";
    private volatile String roleReason = "";
    private volatile Decisions fetchedDecisions = new Decisions();
    private volatile Map<String, String> voterIds = Map.of();
    private final long createdAtNanos = System.nanoTime();
    private String reportedLeader = "";
    private long lastDeliveredIndex;
    private long previousLastAppliedIndex = -1;  // index of the last applied entry at the previous catchUp
    private boolean lagging;  // an event has reported that the own log does not advance
    private boolean configurationChangePending;
    private boolean membershipConfirmed;  // the committed configuration contains this member
    private volatile boolean closed;

    /**
     * Creates the log and starts to contact the other voters. Decisions are delivered to {@code decisionConsumer} in
     * order, on threads of the log; {@code eligibleGateways} supplies the gateways that may become voters.
     */
    public RaftLog(Settings settings, LogTransport transport, Consumer<Decision> decisionConsumer,
            Supplier<Collection<Voters.EligibleGateway>> eligibleGateways, Listener listener) {
        this(settings, DEFAULT_SNAPSHOT_SETTINGS, transport, decisionConsumer, eligibleGateways, listener);
    }

    /** With snapshot settings, for tests. */
    RaftLog(Settings settings, SnapshotSettings snapshotSettings, LogTransport transport,
            Consumer<Decision> decisionConsumer, Supplier<Collection<Voters.EligibleGateway>> eligibleGateways,
            Listener listener) {
        this.settings = settings;
        this.snapshotSettings = snapshotSettings;
        this.decisionConsumer = decisionConsumer;
        this.eligibleGateways = eligibleGateways;
        this.listener = listener;
        groupId = RaftGroupId.valueOf(UUID.nameUUIDFromBytes((settings.installation() + '/' + settings.logId())
                .getBytes(StandardCharsets.UTF_8)));
        timer = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "agreed");
            thread.setDaemon(true);
            return thread;
        });
        timer.setRemoveOnCancelPolicy(true);
        stateMachine = new ReplicatedStateMachine(this::deliver, this::onConfigurationChanged);
        endpoint = new RpcEndpoint(transport, timer, this::handle);
        ExitUtils.disableSystemExit();  // a failing log must not end the gateway's process
        timer.execute(this::open);
    }

    /** Delivers a decision, whether it was fetched from a voter or applied from the own log: each once. */
    private synchronized void deliver(Decision decision) {
        if (decision.index() > lastDeliveredIndex) {
            lastDeliveredIndex = decision.index();
            decisionConsumer.accept(decision);
        }
    }

    private void open() {
        try {
            memberFile = new MemberFile(settings.dataDirectory());
            ownRecord = memberFile.read(settings.logId(), random);
            if (!ownRecord.logId().equals(settings.logId())) {
                listener.event(false, "agreed_begin", "a new log starts under the configured id \"" + settings.logId()
                        + "\"; the previous id was \"" + ownRecord.logId() + "\"");
                ownRecord = new MemberRecord(Long.toHexString(random.nextLong() >>> 16), settings.logId(), Map.of(), 0,
                        Map.of());
            }
            memberFile.write(ownRecord);
        } catch (IOException e) {
            withdraw("data directory can't be used: " + e.getMessage());
            return;
        }
        if (isVoter()) {
            tryToParticipate();
            scheduleRepeatedly(EPOCH_INTERVAL_MILLIS, this::advanceEpoch);
            scheduleRepeatedly(CATCH_UP_INTERVAL_MILLIS, this::catchUp);
        } else {
            role = "following";
            scheduleRepeatedly(FETCH_INTERVAL_MILLIS, this::fetchDecisions);
        }
        scheduleRepeatedly(POLL_INTERVAL_MILLIS, this::reportLeader);
        scheduleRepeatedly(EPOCH_INTERVAL_MILLIS, this::replaceLostVoter);
    }

    private boolean isVoter() {
        return settings.voters().contains(settings.name()) || ownRecord.isBootstrapped();
    }

    private void scheduleRepeatedly(long intervalMillis, Runnable task) {
        timer.scheduleWithFixedDelay(() -> {
            try {
                task.run();
            } catch (RuntimeException e) {  // an uncaught exception would cancel the periodic task
                listener.event(true, "agreed_fault", "fault in the agreed log: " + e);
            }
        }, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void schedule(long delayMillis, Runnable task) {
        try {
            timer.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            return;  // the log is being closed
        }
    }

    private void withdraw(String reason) {
        role = "aside";
        roleReason = reason;
        listener.event(true, "agreed_aside", "this gateway does not take part in the agreed log: " + reason, "why",
                reason);
        RaftServer runningServer = server;
        server = null;
        if (runningServer != null) {
            close(runningServer);
        }
    }

    // ---- starting

    private byte[] encodeOwnRecord() throws IOException {
        return MemberFile.encode(ownRecord);
    }

    private void onPeerRecord(String sender, MemberRecord peerRecord) {
        peerRecords.put(sender, peerRecord);
        if (peerRecord.logId().equals(settings.logId())
                && peerRecord.epoch() > ownRecord.peerEpochs().getOrDefault(peerRecord.id(), 0L)) {
            ownRecord = ownRecord.withPeerEpoch(peerRecord.id(), peerRecord.epoch());
        }
    }

    private void sendOwnRecord() {
        try {
            byte[] bytes = encodeOwnRecord();
            Collection<String> recipients = ownRecord.isBootstrapped() ? ownRecord.voterIds().keySet()
                    : settings.voters();
            for (String other : recipients) {
                if (!other.equals(settings.name())) {
                    endpoint.call(other, EXCHANGE_RECORDS, bytes, REQUEST_TIMEOUT_MILLIS).thenAccept(response -> {
                        try {
                            MemberRecord peerRecord = MemberFile.decode(response, other);
                            timer.execute(() -> onPeerRecord(other, peerRecord));
                        } catch (IOException | RejectedExecutionException e) {
                            return;  // treated as no answer
                        }
                    });
                }
            }
        } catch (IOException e) {
            withdraw("member record can't be encoded: " + e.getMessage());
        }
    }

    private void tryToParticipate() {
        if (closed || role.equals("aside") || role.equals("voter")) {
            return;
        }
        Action action = LogMembership.nextAction(settings.name(), ownRecord, settings.voters(),
                Map.copyOf(peerRecords), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - createdAtNanos));
        if (action instanceof Action.Participate participate) {
            participate(participate.voterIds(), "voter");
            return;
        } else if (action instanceof Action.Withdraw withdraw) {
            withdraw(withdraw.reason());
            return;
        } else if (action instanceof Action.Rejoin rejoin) {
            if (!role.equals("joining")) {
                role = "joining";
                roleReason = rejoin.reason();
                listener.event(true, "agreed_joins", "joins the agreed log under a new identity: " + rejoin.reason(),
                        "id", ownRecord.id());
            }
            requestRejoin(rejoin.voterIds());
        } else if (action instanceof Action.Wait wait) {
            roleReason = wait.reason();
        }
        sendOwnRecord();
        schedule(POLL_INTERVAL_MILLIS, this::tryToParticipate);
    }

    private void advanceEpoch() {
        if (server == null) {
            return;
        }
        if (server.getLifeCycleState() == LifeCycle.State.CLOSED
                || server.getLifeCycleState() == LifeCycle.State.EXCEPTION || isDivisionDead()) {
            withdraw("Raft server has failed; see the preceding events");
            return;
        }
        // A member that was replaced while it was cut off learns of it only from the answers to its own requests.
        if (LogMembership.nextAction(settings.name(), ownRecord, settings.voters(), Map.copyOf(peerRecords),
                LogMembership.MAX_WAIT_FOR_ALL_MILLIS) instanceof Action.Withdraw replaced) {
            withdraw(replaced.reason());
            role = "following";
            scheduleRepeatedly(FETCH_INTERVAL_MILLIS, this::fetchDecisions);
            return;
        }
        ownRecord = ownRecord.withNextEpoch();
        try {
            memberFile.write(ownRecord);
        } catch (IOException e) {
            withdraw("member file can't be written: " + e.getMessage());
            return;
        }
        sendOwnRecord();
    }

    private boolean isDivisionDead() {
        try {
            return !server.getDivision(groupId).getInfo().isAlive();
        } catch (IOException e) {
            return true;
        }
    }

    private void participate(Map<String, String> newVoterIds, String newRole) {
        try {
            // Not advanced at each start of the process: an older copy could reach the remembered epoch by being
            // restarted often.
            ownRecord = ownRecord.withVoters(newVoterIds).withNextEpoch();
            memberFile.write(ownRecord);
            sendOwnRecord();
            voterIds = ownRecord.voterIds();
            role = newRole;
            roleReason = "";
            server = startServer(newVoterIds);
            listener.event(false, "agreed_part", "takes part in the agreed log with "
                    + String.join(", ", newVoterIds.keySet()), "id", ownRecord.id());
        } catch (IOException | RuntimeException e) {
            withdraw("Raft server can't be started: " + e);
        }
    }

    private static RaftPeer peer(String name, String id) {
        return RaftPeer.newBuilder().setId(PeerRpc.peerId(name, id)).setAddress(name).build();
    }

    private static List<RaftPeer> peers(Map<String, String> voters) {
        List<RaftPeer> peers = new ArrayList<>();
        voters.forEach((name, id) -> peers.add(peer(name, id)));
        return peers;
    }

    private RaftServer startServer(Map<String, String> initialVoterIds) throws IOException {
        RaftProperties properties = new RaftProperties();
        // A directory for each log: the library would recover every group that it finds in it.
        RaftServerConfigKeys.setStorageDir(properties, List.of(settings.dataDirectory()
                .resolve("raft-" + groupId.getUuid()).toFile()));
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
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(properties, TRANSFER_CHUNK_SIZE);
        RaftServerConfigKeys.Log.Appender.setSnapshotChunkSizeMax(properties, snapshotSettings.chunkSize());
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(properties, snapshotSettings.intervalEntries());
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, 2);
        Parameters parameters = new Parameters();
        parameters.put(PeerRpcType.ENDPOINT_PARAMETER, endpoint, RpcEndpoint.class);
        RaftServer startedServer = RaftServer.newBuilder()
                .setServerId(RaftPeerId.valueOf(PeerRpc.peerId(settings.name(), ownRecord.id())))
                .setGroup(RaftGroup.valueOf(groupId, peers(initialVoterIds))).setStateMachine(stateMachine)
                .setOption(StartupOption.RECOVER).setProperties(properties)
                .setParameters(parameters).build();
        startedServer.start();
        return startedServer;
    }

    // ---- configuration changes

    /** Called on the library's thread when the voters change from an entry on. */
    private void onConfigurationChanged(long index, RaftConfigurationProto configuration) {
        Map<String, String> newVoterIds = new TreeMap<>();
        configuration.getPeersList().forEach(each -> {
            String id = each.getId().toStringUtf8();
            int separatorIndex = id.indexOf('/');
            newVoterIds.put(id.substring(0, Math.max(0, separatorIndex)), id.substring(separatorIndex + 1));
        });
        schedule(0, () -> {
            boolean isMember = newVoterIds.containsValue(ownRecord.id());
            if (!isMember && !membershipConfirmed) {
                return;  // a configuration from before this member was added, replayed while it catches up
            }
            if (!newVoterIds.equals(voterIds) && !voterIds.isEmpty()) {
                listener.event(false, "agreed_voters", "voters of the agreed log are " + newVoterIds.keySet()
                        + " from entry " + index + " on", "index", index);
            }
            voterIds = newVoterIds;
            if (!isMember) {
                withdraw("this member was replaced by another one in the log");
                return;
            }
            membershipConfirmed = true;
            ownRecord = ownRecord.withVoters(newVoterIds);
            try {
                memberFile.write(ownRecord);
            } catch (IOException e) {
                withdraw("member file can't be written: " + e.getMessage());
                return;
            }
            if (role.equals("joining")) {
                role = "voter";
                roleReason = "";
                listener.event(false, "agreed_part", "takes part in the agreed log with "
                        + String.join(", ", newVoterIds.keySet()), "id", ownRecord.id());
            }
        });
    }

    private void requestRejoin(Map<String, String> currentVoterIds) {
        Map<String, String> newVoterIds = new TreeMap<>(currentVoterIds);
        newVoterIds.put(settings.name(), ownRecord.id());
        if (server == null) {
            try {
                // empty and in no configuration: its vote doesn't count until it has caught up and is added
                server = startServer(newVoterIds);
            } catch (IOException | RuntimeException e) {
                withdraw("Raft server can't be started: " + e);
                return;
            }
        }
        for (String other : currentVoterIds.keySet()) {
            if (!other.equals(settings.name())) {
                endpoint.call(other, REJOIN, ownRecord.id().getBytes(StandardCharsets.UTF_8), APPEND_TIMEOUT_MILLIS);
            }
        }
    }

    /** On the leader: replaces one member by another, one change at a time. */
    private CompletableFuture<Boolean> replaceVoter(String removedName, String addedName, String addedId) {
        RaftServer runningServer = server;
        if (runningServer == null || configurationChangePending || !isLeader()
                || addedId.equals(voterIds.get(addedName))) {
            return CompletableFuture.completedFuture(false);
        }
        configurationChangePending = true;
        Map<String, String> newVoterIds = new TreeMap<>(voterIds);
        newVoterIds.remove(removedName);
        newVoterIds.put(addedName, addedId);
        listener.event(false, "agreed_replaces", "agreed log: adding voter " + addedName + " in place of "
                + removedName, "gateway", addedName, "id", addedId);
        try {
            return runningServer.setConfigurationAsync(new SetConfigurationRequest(clientId, runningServer.getId(),
                    groupId, callIds.incrementAndGet(), peers(newVoterIds)))
                    .handle((reply, fault) -> {
                        schedule(0, () -> configurationChangePending = false);
                        return fault == null && reply.isSuccess();
                    });
        } catch (IOException e) {
            configurationChangePending = false;
            return CompletableFuture.completedFuture(false);
        }
    }

    /** On the leader: replaces a voter that has been away for too long by a gateway that is reachable. */
    private void replaceLostVoter() {
        if (!isLeader() || configurationChangePending) {
            return;
        }
        String[] replacement = Voters.replacement(voterIds.keySet(), eligibleGateways.get(),
                settings.replaceAfterMicros());
        if (replacement == null) {
            return;
        }
        Map<String, String> currentVoterIds = voterIds;
        endpoint.call(replacement[1], EXCHANGE_RECORDS, new byte[0], REQUEST_TIMEOUT_MILLIS).thenAccept(response -> {
            try {
                String addedId = MemberFile.decode(response, replacement[1]).id();
                Map<String, String> newVoterIds = new TreeMap<>(currentVoterIds);
                newVoterIds.remove(replacement[0]);
                newVoterIds.put(replacement[1], addedId);
                endpoint.call(replacement[1], PREPARE_VOTER,
                        MemberFile.encode(new MemberRecord(addedId, settings.logId(), newVoterIds, 0, Map.of())),
                        REQUEST_TIMEOUT_MILLIS)
                        .thenAccept(accepted -> schedule(0,
                                () -> replaceVoter(replacement[0], replacement[1], addedId)));
            } catch (IOException e) {
                return;  // retried at the next interval
            }
        });
    }

    // ---- requests from other members

    private byte[] handle(String from, byte type, byte[] request) throws IOException {
        switch (type) {
            case EXCHANGE_RECORDS -> {
                if (ownRecord == null) {
                    throw new IOException("member record not loaded yet");
                }
                if (request.length > 0) {
                    MemberRecord peerRecord = MemberFile.decode(request, from);
                    timer.execute(() -> onPeerRecord(from, peerRecord));
                }
                return encodeOwnRecord();
            }
            case FETCH_DECISIONS -> {
                return encodeDecisionsAfter(ByteBuffer.wrap(request).getLong());
            }
            case PROPOSE -> {
                if (!isLeader()) {
                    return encodeLeaderHint();
                }
                return ReplicatedStateMachine.encode(submit(request).join());
            }
            case REJOIN -> {
                String id = new String(request, StandardCharsets.UTF_8);
                schedule(0, () -> replaceVoter(from, from, id));
                return new byte[0];
            }
            case PREPARE_VOTER -> {
                MemberRecord newRecord = MemberFile.decode(request, from);
                if (ownRecord == null || !newRecord.id().equals(ownRecord.id())
                        || !newRecord.logId().equals(settings.logId()) || ownRecord.isBootstrapped()
                        || role.equals("aside")) {
                    throw new IOException("not addressed to this member, or it can't become a voter");
                }
                schedule(0, () -> {
                    if (server == null) {
                        participate(newRecord.voterIds(), "joining");
                    }
                });
                return new byte[0];
            }
            default -> {
                RaftServer runningServer = server;
                byte[] response = runningServer == null ? null : PeerRpc.handle(runningServer, type, request);
                if (response == null) {
                    throw new IOException("this member does not take part in the log");
                }
                return response;
            }
        }
    }

    private byte[] encodeLeaderHint() {
        byte[] name = leaderName().getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + name.length).put(NOT_LEADER).put(name).array();
    }

    // ---- fetching decisions from a voter

    private byte[] encodeDecisionsAfter(long index) throws IOException {
        if (server == null) {
            throw new IOException("this member does not take part in the log");
        }
        byte[] voters = String.join(",", voterIds.keySet()).getBytes(StandardCharsets.UTF_8);
        byte[] bytes = stateMachine.encodeDecisionsAfter(index, MAX_FETCHED_DECISIONS);
        return ByteBuffer.allocate(Integer.BYTES + voters.length + bytes.length).putInt(voters.length).put(voters).put(bytes).array();
    }

    /**
     * Fetches decisions from another voter when this voter's log has not advanced since the last check: the library may
     * accept no more entries although it votes and hears a leader. Decisions that its own log applies later are
     * recognized as already delivered.
     */
    private void catchUp() {
        if (server == null || !role.equals("voter")) {
            return;
        }
        long lastAppliedIndex = stateMachine.lastAppliedIndex();
        boolean unchanged = lastAppliedIndex == previousLastAppliedIndex;
        previousLastAppliedIndex = lastAppliedIndex;
        List<String> others = voterIds.keySet().stream().filter(each -> !each.equals(settings.name())).toList();
        if (!unchanged || others.isEmpty()) {
            lagging &= unchanged;
            return;
        }
        byte[] request = ByteBuffer.allocate(Long.BYTES).putLong(lastDeliveredIndex()).array();
        endpoint.call(others.get(random.nextInt(others.size())), FETCH_DECISIONS, request, REQUEST_TIMEOUT_MILLIS)
                .thenAccept(response -> schedule(0, () -> {
            List<Decision> missed = decodeDecisions(response).retained().stream()
                    .filter(each -> each.index() > lastDeliveredIndex()).toList();
            if (stateMachine.lastAppliedIndex() != lastAppliedIndex || missed.isEmpty()) {
                return;
            }
            if (!lagging) {
                listener.event(true, "agreed_behind", "the log of this voter does not advance past entry "
                        + lastAppliedIndex + ": decisions are fetched from another voter", "index", lastAppliedIndex);
            }
            lagging = true;
            missed.forEach(this::deliver);
        }));
    }

    private synchronized long lastDeliveredIndex() {
        return lastDeliveredIndex;
    }

    private static Decisions decodeDecisions(byte[] response) {
        ByteBuffer in = ByteBuffer.wrap(response);
        in.position(Integer.BYTES + in.getInt());
        byte[] bytes = new byte[in.remaining()];
        in.get(bytes);
        return Decisions.fromSnapshot(bytes);
    }

    private void fetchDecisions() {
        if (server != null) {
            return;
        }
        List<String> voters = voterIds.isEmpty() ? settings.voters() : List.copyOf(voterIds.keySet());
        String voter = voters.get(random.nextInt(voters.size()));
        byte[] request = ByteBuffer.allocate(Long.BYTES).putLong(fetchedDecisions.lastAppliedIndex()).array();
        endpoint.call(voter, FETCH_DECISIONS, request, REQUEST_TIMEOUT_MILLIS)
                .thenAccept(response -> schedule(0, () -> {
            ByteBuffer in = ByteBuffer.wrap(response);
            byte[] voterNames = new byte[in.getInt()];
            in.get(voterNames);
            Decisions newlyFetched = decodeDecisions(response);
            long previousIndex = fetchedDecisions.lastAppliedIndex();
            if (newlyFetched.lastAppliedIndex() > previousIndex) {
                fetchedDecisions = newlyFetched;
                newlyFetched.retained().forEach(this::deliver);
            }
            Map<String, String> newVoterIds = new TreeMap<>();
            for (String each : new String(voterNames, StandardCharsets.UTF_8).split(",")) {
                newVoterIds.put(each, "");
            }
            voterIds = newVoterIds;
        }));
    }

    // ---- appending

    private DivisionInfo divisionInfo() {
        RaftServer runningServer = server;
        try {
            return runningServer == null ? null : runningServer.getDivision(groupId).getInfo();
        } catch (IOException e) {
            return null;
        }
    }

    private boolean isLeader() {
        DivisionInfo info = divisionInfo();
        return info != null && info.isLeader();
    }

    /** Name of the leader's gateway, as far as this member knows; empty where it knows none. */
    private String leaderName() {
        DivisionInfo info = divisionInfo();
        RaftPeerId id = info == null ? null : info.getLeaderId();
        return id == null ? "" : PeerRpc.gatewayName(id);
    }

    private void reportLeader() {
        String currentLeader = leaderName();
        if (!currentLeader.isEmpty() && !currentLeader.equals(reportedLeader)) {
            reportedLeader = currentLeader;
            DivisionInfo info = divisionInfo();
            listener.event(false, "agreed_leader", "agreed log: the leader is " + currentLeader, "leader",
                    currentLeader, "term", info == null ? 0 : info.getCurrentTerm());
        }
    }

    private CompletableFuture<AppendOutcome> submit(byte[] entry) {
        RaftServer runningServer = server;
        if (runningServer == null) {
            return CompletableFuture.completedFuture(
                    new AppendOutcome.Unknown("this member does not take part in the log"));
        }
        RaftClientRequest request = RaftClientRequest.newBuilder().setClientId(clientId)
                .setServerId(runningServer.getId()).setGroupId(groupId).setCallId(callIds.incrementAndGet())
                .setMessage(Message.valueOf(UnsafeByteOperations.unsafeWrap(entry))).setType(RaftClientRequest.writeRequestType()).build();
        try {
            return runningServer.submitClientRequestAsync(request)
                    .orTimeout(APPEND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .handle((reply, fault) -> toOutcome(reply, fault));
        } catch (IOException e) {
            return CompletableFuture.completedFuture(new AppendOutcome.Unknown(String.valueOf(e.getMessage())));
        }
    }

    /**
     * A failure says nothing about the entry: a former leader may have replicated it before it lost leadership. Only a
     * reply from the state machine is conclusive.
     */
    private static AppendOutcome toOutcome(RaftClientReply reply, Throwable fault) {
        if (fault != null) {
            return new AppendOutcome.Unknown(fault.getClass().getSimpleName());
        }
        return reply.isSuccess() ? ReplicatedStateMachine.decode(reply.getMessage().getContent().toByteArray())
                : new AppendOutcome.Unknown(reply.getException().getClass().getSimpleName());
    }

    @Override
    public void append(String id, byte[] command, Consumer<AppendOutcome> callback) {
        byte[] entry;
        try {
            entry = Decisions.appendEntry(id, command);
        } catch (IllegalArgumentException e) {
            callback.accept(new AppendOutcome.Rejected(e.getMessage()));
            return;
        }
        propose(entry, callback);
    }

    @Override
    public void settle(String id, Consumer<AppendOutcome> callback) {
        propose(Decisions.settleEntry(id), callback);
    }

    private void propose(byte[] entry, Consumer<AppendOutcome> callback) {
        PendingAppends.PendingAppend append = pendingAppends.add(callback);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(APPEND_TIMEOUT_MILLIS);
        if (append.isPending()) {
            propose(entry, deadlineNanos, "", append::end);
        }
    }

    /**
     * Proposes an entry to the leader, or to a voter that may know it, and retries until the deadline: entries are
     * deduplicated by id, so an entry counts once however often it is committed.
     */
    private void propose(byte[] entry, long deadlineNanos, String leaderHint, Consumer<AppendOutcome> callback) {
        if (System.nanoTime() >= deadlineNanos || closed) {
            callback.accept(new AppendOutcome.Unknown("no leader answered in time"));
            return;
        }
        String target = leaderHint.isEmpty() ? leaderName() : leaderHint;
        CompletableFuture<AppendOutcome> attempt;
        String[] nextHint = {""};
        if (target.equals(settings.name()) || isLeader()) {
            attempt = submit(entry);
        } else {
            List<String> voters = voterIds.isEmpty() ? settings.voters() : List.copyOf(voterIds.keySet());
            String recipient = target.isEmpty() ? voters.get(random.nextInt(voters.size())) : target;
            attempt = endpoint.call(recipient, PROPOSE, entry, REQUEST_TIMEOUT_MILLIS * 2).handle((response, fault) -> {
                if (fault != null) {
                    return new AppendOutcome.Unknown("no response");
                }
                if (response.length > 0 && response[0] == NOT_LEADER) {
                    nextHint[0] = new String(response, 1, response.length - 1, StandardCharsets.UTF_8);
                    return new AppendOutcome.Unknown("not the leader");
                }
                return ReplicatedStateMachine.decode(response);
            });
        }
        attempt.thenAccept(outcome -> {
            if (outcome instanceof AppendOutcome.Unknown) {
                schedule(RETRY_DELAY_MILLIS, () -> propose(entry, deadlineNanos,
                        Objects.equals(nextHint[0], settings.name()) ? "" : nextHint[0], callback));
            } else {
                callback.accept(outcome);
            }
        });
    }

    public Status status() {
        DivisionInfo info = divisionInfo();
        return new Status(role, roleReason, info == null ? "" : leaderName(), info == null ? 0 : info.getCurrentTerm(),
                server == null ? fetchedDecisions.lastAppliedIndex() : stateMachine.lastAppliedIndex(),
                new HashMap<>(voterIds));
    }

    private void close(RaftServer runningServer) {
        try {
            runningServer.close();
        } catch (IOException | RuntimeException e) {
            listener.event(true, "agreed_fault", "closing the agreed log failed: " + e);
        }
    }

    /** Closes this member; the outcomes of pending appends are unknown. */
    @Override
    public void close() {
        closed = true;
        timer.shutdownNow();
        endpoint.close();
        pendingAppends.close();
        if (server != null) {
            close(server);
        }
    }
}
