package mastdrift.agreed.edge;

import java.io.File;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import mastdrift.agreed.AgreedLog.AppendOutcome;
import mastdrift.agreed.AgreedLog.Decision;
import mastdrift.agreed.Decisions;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.proto.RaftProtos.RaftConfigurationProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.thirdparty.com.google.protobuf.UnsafeByteOperations;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.MD5FileUtil;

/**
 * Replicated state machine, to which the Raft library applies committed entries. It keeps {@link Decisions}, takes and
 * loads their snapshots, and delivers each decision once.
 */
final class ReplicatedStateMachine extends BaseStateMachine {

    private static final byte COMMITTED = 1;
    private static final byte REJECTED = 2;
    private static final byte UNKNOWN = 3;

    private final SimpleStateMachineStorage snapshotStorage = new SimpleStateMachineStorage();
    private final Consumer<Decision> decisionConsumer;
    private final BiConsumer<Long, RaftConfigurationProto> configurationListener;
    private Decisions decisions = new Decisions();
    private long lastDeliveredIndex;

    /**
     * Delivers decisions to {@code decisionConsumer} and configuration changes to {@code configurationListener}, on the
     * library's threads.
     */
    ReplicatedStateMachine(Consumer<Decision> decisionConsumer,
            BiConsumer<Long, RaftConfigurationProto> configurationListener) {
        this.decisionConsumer = decisionConsumer;
        this.configurationListener = configurationListener;
    }

    /** Encodes an outcome for a response. */
    static byte[] encode(AppendOutcome outcome) {
        if (outcome instanceof AppendOutcome.Committed committed) {
            return ByteBuffer.allocate(1 + Long.BYTES).put(COMMITTED).putLong(committed.index()).array();
        }
        byte[] reason = (outcome instanceof AppendOutcome.Rejected rejected ? rejected.reason()
                : ((AppendOutcome.Unknown) outcome).reason()).getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + reason.length).put(outcome instanceof AppendOutcome.Rejected ? REJECTED
                : UNKNOWN).put(reason).array();
    }

    /** Decodes an outcome; {@link AppendOutcome.Unknown} for what it can't decode. */
    static AppendOutcome decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte kind = in.hasRemaining() ? in.get() : UNKNOWN;
        if (kind == COMMITTED && in.remaining() == Long.BYTES) {
            return new AppendOutcome.Committed(in.getLong());
        }
        String reason = new String(bytes, Math.min(1, bytes.length), Math.max(0, bytes.length - 1),
                StandardCharsets.UTF_8);
        return kind == REJECTED ? new AppendOutcome.Rejected(reason) : new AppendOutcome.Unknown(reason);
    }

    /** Encodes the decisions after an index, see {@link Decisions#sliceAfter}. */
    synchronized byte[] encodeDecisionsAfter(long index, int limit) {
        return decisions.sliceAfter(index, limit).snapshot();
    }

    synchronized long lastAppliedIndex() {
        return decisions.lastAppliedIndex();
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage storage) throws IOException {
        getLifeCycle().startAndTransition(() -> {
            super.initialize(server, group, storage);
            snapshotStorage.init(storage);
            loadLatestSnapshot();
        });
    }

    private synchronized void loadLatestSnapshot() throws IOException {
        SingleFileSnapshotInfo latest = snapshotStorage.loadLatestSnapshot();
        if (latest == null) {
            return;
        }
        File file = latest.getFile().getPath().toFile();
        MD5FileUtil.verifySavedMD5(file, MD5FileUtil.computeMd5ForFile(file));
        decisions = Decisions.fromSnapshot(Files.readAllBytes(file.toPath()));
        setLastAppliedTermIndex(latest.getTermIndex());
        decisions.retained().forEach(this::deliver);
    }

    private void deliver(Decision decision) {
        if (decision.index() > lastDeliveredIndex) {
            lastDeliveredIndex = decision.index();
            decisionConsumer.accept(decision);
        }
    }

    /**
     * Does nothing if it is paused already: the library pauses it again with each chunk of a snapshot that it receives.
     */
    @Override
    public void pause() {
        if (getLifeCycleState() != LifeCycle.State.PAUSED) {
            getLifeCycle().transition(LifeCycle.State.PAUSING);
            getLifeCycle().transition(LifeCycle.State.PAUSED);
        }
    }

    @Override
    public void reinitialize() throws IOException {
        loadLatestSnapshot();
        if (getLifeCycleState() == LifeCycle.State.PAUSED) {
            getLifeCycle().transition(LifeCycle.State.STARTING);
            getLifeCycle().transition(LifeCycle.State.RUNNING);
        }
    }

    @Override
    public synchronized long takeSnapshot() throws IOException {
        TermIndex last = getLastAppliedTermIndex();
        if (last == null || last.getIndex() < 0) {
            return -1;
        }
        File file = snapshotStorage.getSnapshotFile(last.getTerm(), last.getIndex());
        File temporaryFile = new File(file.getPath() + ".part");
        Files.write(temporaryFile.toPath(), decisions.snapshot());
        Files.move(temporaryFile.toPath(), file.toPath(), StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
        snapshotStorage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(),
                MD5FileUtil.computeAndSaveMd5ForFile(file)), last));
        return last.getIndex();
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return snapshotStorage;
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto entry = transaction.getLogEntry();
        AppendOutcome outcome;
        synchronized (this) {
            outcome = decisions.apply(entry.getIndex(), entry.getStateMachineLogEntry().getLogData().toByteArray());
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
            if (outcome instanceof AppendOutcome.Committed committed && committed.index() == entry.getIndex()) {
                List<Decision> appended = decisions.decisionsAfter(committed.index() - 1, 1);
                if (appended != null && !appended.isEmpty()) {
                    deliver(appended.get(0));
                }
            }
        }
        ByteString response = UnsafeByteOperations.unsafeWrap(encode(outcome));
        return CompletableFuture.completedFuture(Message.valueOf(response));
    }

    @Override
    public void notifyConfigurationChanged(long term, long index, RaftConfigurationProto configuration) {
        configurationListener.accept(index, configuration);
    }
}
