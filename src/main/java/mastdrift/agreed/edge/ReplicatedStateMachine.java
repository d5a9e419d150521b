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

/** The replicated state machine, to which the Raft library applies committed entries. */
final class ReplicatedStateMachine extends BaseStateMachine {

    private static final byte IN = 1;
    private static final byte OUT = 2;
    private static final byte UNKNOWN = 3;

    private final SimpleStateMachineStorage files = new SimpleStateMachineStorage();
    private final Consumer<Decision> reader;
    private final BiConsumer<Long, RaftConfigurationProto> voters;
    private Decisions decisions = new Decisions();
    private long read;

    /** Tells decisions to a reader and changes of voters, on the library's thread. */
    ReplicatedStateMachine(Consumer<Decision> reader, BiConsumer<Long, RaftConfigurationProto> voters) {
        this.reader = reader;
        this.voters = voters;
    }

    static byte[] bytes(AppendOutcome outcome) {
        if (outcome instanceof AppendOutcome.Committed committed) {
            return ByteBuffer.allocate(1 + Long.BYTES).put(IN).putLong(committed.index()).array();
        }
        byte[] why = (outcome instanceof AppendOutcome.Rejected rejected ? rejected.reason() : ((AppendOutcome.Unknown) outcome).reason()).getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + why.length).put(outcome instanceof AppendOutcome.Rejected ? OUT : UNKNOWN).put(why).array();
    }

    static AppendOutcome outcome(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte kind = in.hasRemaining() ? in.get() : UNKNOWN;
        if (kind == IN && in.remaining() == Long.BYTES) {
            return new AppendOutcome.Committed(in.getLong());
        }
        String why = new String(bytes, Math.min(1, bytes.length), Math.max(0, bytes.length - 1), StandardCharsets.UTF_8);
        return kind == OUT ? new AppendOutcome.Rejected(why) : new AppendOutcome.Unknown(why);
    }

    /** What is behind an entry, as bytes, for who follows from there. */
    synchronized byte[] part(long index, int most) {
        return decisions.sliceAfter(index, most).snapshot();
    }

    synchronized long last() {
        return decisions.lastAppliedIndex();
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage storage) throws IOException {
        getLifeCycle().startAndTransition(() -> {
            super.initialize(server, group, storage);
            files.init(storage);
            load();
        });
    }

    private synchronized void load() throws IOException {
        SingleFileSnapshotInfo latest = files.loadLatestSnapshot();
        if (latest == null) {
            return;
        }
        File file = latest.getFile().getPath().toFile();
        MD5FileUtil.verifySavedMD5(file, MD5FileUtil.computeMd5ForFile(file));
        decisions = Decisions.fromSnapshot(Files.readAllBytes(file.toPath()));
        setLastAppliedTermIndex(latest.getTermIndex());
        decisions.retained().forEach(this::tell);
    }

    private void tell(Decision decision) {
        if (decision.index() > read) {
            read = decision.index();
            reader.accept(decision);
        }
    }

    /** The library pauses it again with each piece of a snapshot that it is given. */
    @Override
    public void pause() {
        if (getLifeCycleState() != LifeCycle.State.PAUSED) {
            getLifeCycle().transition(LifeCycle.State.PAUSING);
            getLifeCycle().transition(LifeCycle.State.PAUSED);
        }
    }

    @Override
    public void reinitialize() throws IOException {
        load();
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
        File file = files.getSnapshotFile(last.getTerm(), last.getIndex());
        File aside = new File(file.getPath() + ".part");
        Files.write(aside.toPath(), decisions.snapshot());
        Files.move(aside.toPath(), file.toPath(), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        files.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), MD5FileUtil.computeAndSaveMd5ForFile(file)), last));
        return last.getIndex();
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return files;
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto entry = transaction.getLogEntry();
        AppendOutcome outcome;
        synchronized (this) {
            outcome = decisions.apply(entry.getIndex(), entry.getStateMachineLogEntry().getLogData().toByteArray());
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
            if (outcome instanceof AppendOutcome.Committed committed && committed.index() == entry.getIndex()) {
                List<Decision> own = decisions.decisionsAfter(committed.index() - 1, 1);
                if (own != null && !own.isEmpty()) {
                    tell(own.get(0));
                }
            }
        }
        ByteString answer = UnsafeByteOperations.unsafeWrap(bytes(outcome));
        return CompletableFuture.completedFuture(Message.valueOf(answer));
    }

    @Override
    public void notifyConfigurationChanged(long term, long index, RaftConfigurationProto configuration) {
        voters.accept(index, configuration);
    }
}
