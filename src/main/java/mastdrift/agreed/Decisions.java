package mastdrift.agreed;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mastdrift.agreed.AgreedLog.AppendOutcome;
import mastdrift.agreed.AgreedLog.Decision;

/**
 * State that every member builds from the log: which ids are committed or can't be committed any more, and the last
 * decisions, for readers that fetch them. It is deterministic: the same entries in the same order give the same state
 * at every member, also when a member starts from a snapshot.
 *
 * <p>The last {@value #MAX_IDS} ids are remembered; the last {@value #MAX_RETAINED_DECISIONS} decisions are retained,
 * of at most {@value #MAX_RETAINED_BYTES} bytes. A reader that is further behind gets a snapshot of the whole state.
 * Not thread-safe.
 */
public final class Decisions {

    /** Number of ids that are remembered. */
    public static final int MAX_IDS = 65_536;
    /** Number of decisions that are retained for readers. */
    public static final int MAX_RETAINED_DECISIONS = 4_096;
    /** Size of the commands of retained decisions; the last decision is retained whatever its size. */
    static final int MAX_RETAINED_BYTES = 4 << 20;
    private static final byte APPEND = 1;
    private static final byte SETTLE = 2;
    private static final int FORMAT_VERSION = 1;
    /** Takes the place of an index for an id that was settled before it was committed. */
    private static final long NEVER_COMMITTED = -1;

    private final LinkedHashMap<String, Long> indexById = new LinkedHashMap<>();
    private final Deque<Decision> retained = new ArrayDeque<>();
    private long retainedBytes;
    private long lastAppliedIndex;
    private long decisionCount;

    /**
     * Encodes an entry that appends a decision. Throws IllegalArgumentException for an id or a command that is too
     * large.
     */
    public static byte[] appendEntry(String id, byte[] command) {
        if (command.length > AgreedLog.MAX_DECISION_BYTES) {
            throw new IllegalArgumentException("expected a decision of at most " + AgreedLog.MAX_DECISION_BYTES
                    + " bytes, found " + command.length);
        }
        return encodeEntry(APPEND, id, command);
    }

    /** Encodes an entry that settles an id, see {@link AgreedLog#settle}. */
    public static byte[] settleEntry(String id) {
        return encodeEntry(SETTLE, id, new byte[0]);
    }

    private static byte[] encodeEntry(byte kind, String id, byte[] command) {
        byte[] idBytes = id.getBytes(StandardCharsets.UTF_8);
        if (id.isEmpty() || id.length() > AgreedLog.MAX_ID_CHARS) {
            throw new IllegalArgumentException("expected an id of 1 to " + AgreedLog.MAX_ID_CHARS
                    + " characters, found " + id.length());
        }
        return ByteBuffer.allocate(4 + idBytes.length + command.length).put((byte) FORMAT_VERSION).put(kind)
                .putShort((short) idBytes.length).put(idBytes).put(command).array();
    }

    /**
     * Applies the next entry of the log and returns its outcome. An entry that this build can't decode changes nothing,
     * and is rejected by every member of this build.
     */
    public AppendOutcome apply(long index, byte[] entry) {
        if (index <= lastAppliedIndex) {
            throw new IllegalArgumentException("expected an entry after " + lastAppliedIndex + ", found " + index);
        }
        lastAppliedIndex = index;
        ByteBuffer in = ByteBuffer.wrap(entry);
        if (entry.length < 4 || in.get() != FORMAT_VERSION) {
            return new AppendOutcome.Rejected("entry format not supported by this build");
        }
        byte kind = in.get();
        int length = Short.toUnsignedInt(in.getShort());
        if (length > in.remaining() || kind != APPEND && kind != SETTLE) {
            return new AppendOutcome.Rejected("entry format not supported by this build");
        }
        byte[] idBytes = new byte[length];
        in.get(idBytes);
        String id = new String(idBytes, StandardCharsets.UTF_8);
        Long previousIndex = indexById.get(id);
        if (previousIndex != null) {
            return previousIndex == NEVER_COMMITTED ? new AppendOutcome.Rejected("id was settled as not committed")
                    : new AppendOutcome.Committed(previousIndex);
        }
        rememberId(id, kind == APPEND ? index : NEVER_COMMITTED);
        if (kind == SETTLE) {
            return new AppendOutcome.Rejected("settled");
        }
        byte[] command = new byte[in.remaining()];
        in.get(command);
        retain(new Decision(index, ++decisionCount, id, command));
        return new AppendOutcome.Committed(index);
    }

    private void rememberId(String id, long index) {
        indexById.put(id, index);
        if (indexById.size() > MAX_IDS) {
            indexById.remove(indexById.keySet().iterator().next());
        }
    }

    private void retain(Decision decision) {
        retained.add(decision);
        retainedBytes += decision.command().length;
        while (retained.size() > MAX_RETAINED_DECISIONS || retainedBytes > MAX_RETAINED_BYTES && retained.size() > 1) {
            retainedBytes -= retained.poll().command().length;
        }
    }

    /** Index of the last entry that was applied. */
    public long lastAppliedIndex() {
        return lastAppliedIndex;
    }

    /** Number of decisions since the log was started, those no longer retained included. */
    public long decisionCount() {
        return decisionCount;
    }

    /**
     * Returns the first {@code limit} decisions after an index; null where some of the decisions after it are no longer
     * retained.
     */
    public List<Decision> decisionsAfter(long index, int limit) {
        List<Decision> result = new ArrayList<>();
        long firstRetainedIndex = retained.isEmpty() ? lastAppliedIndex + 1 : retained.peek().index();
        if (decisionCount > retained.size() && index < firstRetainedIndex - 1) {
            return null;
        }
        for (Decision each : retained) {
            if (each.index() > index && result.size() < limit) {
                result.add(each);
            }
        }
        return result;
    }

    /**
     * Returns a state that holds only the first {@code limit} decisions after an index, with their ordinals and ids,
     * for a reader that has all up to there; a copy of the whole state where some of the decisions after it are no
     * longer retained.
     */
    public Decisions sliceAfter(long index, int limit) {
        List<Decision> decisions = decisionsAfter(index, limit);
        if (decisions == null) {
            return fromSnapshot(snapshot());
        }
        Decisions slice = new Decisions();
        if (!decisions.isEmpty()) {
            slice.lastAppliedIndex = decisions.get(decisions.size() - 1).index();
            for (Decision each : decisions) {
                slice.decisionCount = each.ordinal();
                slice.rememberId(each.id(), each.index());
                slice.retain(each);
            }
        }
        return slice;
    }

    /** Retained decisions, oldest first. */
    public List<Decision> retained() {
        return List.copyOf(retained);
    }

    /** Encodes the whole state. */
    public byte[] snapshot() {
        int sizeBytes = 4 + 8 + 8 + 4 + 4;
        List<byte[]> encodedIds = new ArrayList<>();
        for (String id : indexById.keySet()) {
            encodedIds.add(id.getBytes(StandardCharsets.UTF_8));
            sizeBytes += 2 + encodedIds.get(encodedIds.size() - 1).length + 8;
        }
        for (Decision each : retained) {
            sizeBytes += 8 + 2 + each.id().getBytes(StandardCharsets.UTF_8).length + 4 + each.command().length;
        }
        ByteBuffer out = ByteBuffer.allocate(sizeBytes).putInt(FORMAT_VERSION).putLong(lastAppliedIndex)
                .putLong(decisionCount).putInt(indexById.size());
        int i = 0;
        for (Map.Entry<String, Long> each : indexById.entrySet()) {
            out.putShort((short) encodedIds.get(i).length).put(encodedIds.get(i++)).putLong(each.getValue());
        }
        out.putInt(retained.size());
        for (Decision each : retained) {
            byte[] id = each.id().getBytes(StandardCharsets.UTF_8);
            out.putLong(each.index()).putShort((short) id.length).put(id).putInt(each.command().length).put(each.command());
        }
        return out.array();
    }

    /** Decodes a snapshot. Throws IllegalArgumentException for a malformed one. */
    public static Decisions fromSnapshot(byte[] snapshot) {
        Decisions state = new Decisions();
        try {
            ByteBuffer in = ByteBuffer.wrap(snapshot);
            int version = in.getInt();
            if (version != FORMAT_VERSION) {
                throw new IllegalArgumentException("expected a snapshot of version " + FORMAT_VERSION + ", found "
                        + version);
            }
            state.lastAppliedIndex = in.getLong();
            long count = in.getLong();
            for (int i = in.getInt(); i > 0; i--) {
                state.indexById.put(readString(in), in.getLong());
            }
            int retainedCount = in.getInt();
            if (retainedCount < 0 || retainedCount > MAX_RETAINED_DECISIONS || retainedCount > count) {
                throw new IllegalArgumentException("expected 0 to " + Math.min(MAX_RETAINED_DECISIONS, count) + " of "
                        + count + " decisions, found " + retainedCount);
            }
            state.decisionCount = count - retainedCount;
            for (int i = retainedCount; i > 0; i--) {
                long index = in.getLong();
                String id = readString(in);
                byte[] command = new byte[checkLength(in.getInt(), in)];
                in.get(command);
                // the retained decisions are the last ones, without a gap
                state.retain(new Decision(index, ++state.decisionCount, id, command));
            }
            if (in.hasRemaining()) {
                throw new IllegalArgumentException("expected the end of a snapshot, found " + in.remaining() + " bytes");
            }
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("snapshot truncated", e);
        }
        return state;
    }

    private static String readString(ByteBuffer in) {
        byte[] bytes = new byte[checkLength(Short.toUnsignedInt(in.getShort()), in)];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static int checkLength(int length, ByteBuffer in) {
        if (length < 0 || length > in.remaining()) {
            throw new IllegalArgumentException("expected at most " + in.remaining() + " bytes, found " + length);
        }
        return length;
    }
}
