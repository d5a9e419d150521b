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
import mastdrift.agreed.AgreedLog.Decision;
import mastdrift.agreed.AgreedLog.AppendOutcome;

/**
 * What every member keeps of the log: which ids are in or can't come in any more, and the last decisions for those who follow. The same entries in the same order give the same state, whoever applies them and however often he
 * began from a snapshot.
 *
 * <p>An id is remembered for {@value #IDS_MOST} decisions, a decision for {@value #KEPT_MOST} or {@value #KEPT_BYTES} bytes; who follows from further back is given the snapshot. Not safe for use by several threads.
 */
public final class Decisions {

    /** Ids that are remembered. */
    public static final int IDS_MOST = 65_536;
    /** Decisions that are kept for those who follow. */
    public static final int KEPT_MOST = 4_096;
    static final int KEPT_BYTES = 4 << 20;
    private static final byte APPEND = 1;
    private static final byte SETTLE = 2;
    private static final int VERSION = 1;
    private static final long NEVER = -1;

    private final LinkedHashMap<String, Long> ids = new LinkedHashMap<>();
    private final Deque<Decision> kept = new ArrayDeque<>();
    private long keptBytes;
    private long last;
    private long count;

    /** An entry that appends a decision. Throws IllegalArgumentException for what is too large. */
    public static byte[] append(String id, byte[] command) {
        if (command.length > AgreedLog.DECISION_MOST) {
            throw new IllegalArgumentException("expected a decision of at most " + AgreedLog.DECISION_MOST + " bytes, found " + command.length);
        }
        return entry(APPEND, id, command);
    }

    /** An entry that settles an id. */
    public static byte[] settle(String id) {
        return entry(SETTLE, id, new byte[0]);
    }

    private static byte[] entry(byte kind, String id, byte[] command) {
        byte[] name = id.getBytes(StandardCharsets.UTF_8);
        if (id.isEmpty() || id.length() > AgreedLog.ID_MOST) {
            throw new IllegalArgumentException("expected an id of 1 to " + AgreedLog.ID_MOST + " characters, found " + id.length());
        }
        return ByteBuffer.allocate(4 + name.length + command.length).put((byte) VERSION).put(kind).putShort((short) name.length).put(name).put(command).array();
    }

    /** An entry of the log, in its order; what became of it. An entry that this build can't read changes nothing, and is out at every member of this build. */
    public AppendOutcome apply(long index, byte[] entry) {
        if (index <= last) {
            throw new IllegalArgumentException("expected an entry after " + last + ", found " + index);
        }
        last = index;
        ByteBuffer in = ByteBuffer.wrap(entry);
        if (entry.length < 4 || in.get() != VERSION) {
            return new AppendOutcome.Rejected("an entry that this build can't read");
        }
        byte kind = in.get();
        int length = Short.toUnsignedInt(in.getShort());
        if (length > in.remaining() || kind != APPEND && kind != SETTLE) {
            return new AppendOutcome.Rejected("an entry that this build can't read");
        }
        byte[] name = new byte[length];
        in.get(name);
        String id = new String(name, StandardCharsets.UTF_8);
        Long before = ids.get(id);
        if (before != null) {
            return before == NEVER ? new AppendOutcome.Rejected("it was settled that it doesn't come in") : new AppendOutcome.Committed(before);
        }
        remember(id, kind == APPEND ? index : NEVER);
        if (kind == SETTLE) {
            return new AppendOutcome.Rejected("settled");
        }
        byte[] command = new byte[in.remaining()];
        in.get(command);
        keep(new Decision(index, ++count, id, command));
        return new AppendOutcome.Committed(index);
    }

    private void remember(String id, long index) {
        ids.put(id, index);
        if (ids.size() > IDS_MOST) {
            ids.remove(ids.keySet().iterator().next());
        }
    }

    private void keep(Decision decision) {
        kept.add(decision);
        keptBytes += decision.command().length;
        while (kept.size() > KEPT_MOST || keptBytes > KEPT_BYTES && kept.size() > 1) {
            keptBytes -= kept.poll().command().length;
        }
    }

    /** The last entry that was applied. */
    public long last() {
        return last;
    }

    /** Decisions in all. */
    public long count() {
        return count;
    }

    /** Decisions behind an index, the first {@code most}; null where some of them are no longer kept. */
    public List<Decision> after(long index, int most) {
        List<Decision> after = new ArrayList<>();
        long first = kept.isEmpty() ? last + 1 : kept.peek().index();
        if (count > kept.size() && index < first - 1) {
            return null;
        }
        for (Decision each : kept) {
            if (each.index() > index && after.size() < most) {
                after.add(each);
            }
        }
        return after;
    }

    /** The first {@code most} decisions behind an index, with their ordinals and no ids but theirs, for who follows from there; all of it where some of them are no longer kept. */
    public Decisions part(long index, int most) {
        List<Decision> after = after(index, most);
        if (after == null) {
            return restored(snapshot());
        }
        Decisions part = new Decisions();
        if (!after.isEmpty()) {
            part.last = after.get(after.size() - 1).index();
            for (Decision each : after) {
                part.count = each.ordinal();
                part.remember(each.id(), each.index());
                part.keep(each);
            }
        }
        return part;
    }

    /** Decisions that are kept, the first first. */
    public List<Decision> kept() {
        return List.copyOf(kept);
    }

    /** All of it as bytes. */
    public byte[] snapshot() {
        int size = 4 + 8 + 8 + 4 + 4;
        List<byte[]> names = new ArrayList<>();
        for (String id : ids.keySet()) {
            names.add(id.getBytes(StandardCharsets.UTF_8));
            size += 2 + names.get(names.size() - 1).length + 8;
        }
        for (Decision each : kept) {
            size += 8 + 2 + each.id().getBytes(StandardCharsets.UTF_8).length + 4 + each.command().length;
        }
        ByteBuffer out = ByteBuffer.allocate(size).putInt(VERSION).putLong(last).putLong(count).putInt(ids.size());
        int i = 0;
        for (Map.Entry<String, Long> each : ids.entrySet()) {
            out.putShort((short) names.get(i).length).put(names.get(i++)).putLong(each.getValue());
        }
        out.putInt(kept.size());
        for (Decision each : kept) {
            byte[] id = each.id().getBytes(StandardCharsets.UTF_8);
            out.putLong(each.index()).putShort((short) id.length).put(id).putInt(each.command().length).put(each.command());
        }
        return out.array();
    }

    /** From a snapshot. Throws IllegalArgumentException for what is none; nothing is changed then. */
    public static Decisions restored(byte[] snapshot) {
        Decisions all = new Decisions();
        try {
            ByteBuffer in = ByteBuffer.wrap(snapshot);
            int version = in.getInt();
            if (version != VERSION) {
                throw new IllegalArgumentException("expected a snapshot of version " + VERSION + ", found " + version);
            }
            all.last = in.getLong();
            long count = in.getLong();
            for (int i = in.getInt(); i > 0; i--) {
                all.ids.put(text(in), in.getLong());
            }
            int held = in.getInt();
            if (held < 0 || held > KEPT_MOST || held > count) {
                throw new IllegalArgumentException("expected 0 to " + Math.min(KEPT_MOST, count) + " of " + count + " decisions, found " + held);
            }
            all.count = count - held;
            for (int i = held; i > 0; i--) {
                long index = in.getLong();
                String id = text(in);
                byte[] command = new byte[bounded(in.getInt(), in)];
                in.get(command);
                all.keep(new Decision(index, ++all.count, id, command));  // those that are kept are the last ones, without a gap
            }
            if (in.hasRemaining()) {
                throw new IllegalArgumentException("expected the end of a snapshot, found " + in.remaining() + " bytes");
            }
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("expected a whole snapshot, found a part", e);
        }
        return all;
    }

    private static String text(ByteBuffer in) {
        byte[] text = new byte[bounded(Short.toUnsignedInt(in.getShort()), in)];
        in.get(text);
        return new String(text, StandardCharsets.UTF_8);
    }

    private static int bounded(int length, ByteBuffer in) {
        if (length < 0 || length > in.remaining()) {
            throw new IllegalArgumentException("expected at most " + in.remaining() + " bytes, found " + length);
        }
        return length;
    }
}
