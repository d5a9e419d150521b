package mastdrift.distribution.edge;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import mastdrift.distribution.Delta;
import mastdrift.distribution.History;
import mastdrift.distribution.Revision;
import mastdrift.distribution.Table;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;

/**
 * Writes tables to a {@link TableFolder} on a thread of its own, so that no event loop blocks on a disk. Updates that
 * arrive during a write are batched into the next one. When a write fails, one event is emitted, the newest table is
 * kept and the write is retried every {@value #RETRY_MILLIS} ms; another event reports the first success.
 * <p>Limits: it holds the newest table and at most as many pending deltas as a {@link History}; beyond that the table
 * is written whole.
 */
public final class TableWriter implements AutoCloseable {

    /** Delay before a failed write is retried. */
    public static final int RETRY_MILLIS = 10_000;
    private static final int CLOSE_TIMEOUT_MILLIS = 3_000;

    /**
     * State of the writer.
     * @param writtenRevision the revision on disk; null if not known
     * @param bytes size of both files
     * @param failure why the last write failed; null if it did not
     */
    public record Status(Revision writtenRevision, long bytes, String failure) { }

    private final TableFolder folder;
    private final Clock clock;
    private final Events events;
    private final int retryMillis;
    private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, new DefaultThreadFactory("config-folder", true));
    private Table pendingTable;  // null if there is nothing to write
    private List<Delta> pendingDeltas = new ArrayList<>();  // that lead to it; null to write the whole table
    private long pendingDeltaBytes;
    private List<Delta> takenDeltas;  // deltas of the write in progress; null to write the whole table
    private boolean writeScheduled;  // a write is in progress or scheduled
    private boolean closed;
    private Status status;

    /** Writes to a folder that has been read; {@code initialTable} is the table it contained, or null. */
    public TableWriter(TableFolder folder, Table initialTable, Clock clock, Events events) {
        this(folder, initialTable, clock, events, RETRY_MILLIS);
    }

    TableWriter(TableFolder folder, Table initialTable, Clock clock, Events events, int retryMillis) {
        this.folder = folder;
        this.clock = clock;
        this.events = events;
        this.retryMillis = retryMillis;
        status = new Status(initialTable == null ? null : initialTable.revision(), folder.sizeBytes(), null);
    }

    /**
     * Submits the newest table with the deltas that lead to it from the previous one, or an empty list if they aren't
     * known. Thread-safe; does not block on the disk.
     */
    public synchronized void submit(Table newestTable, List<Delta> newDeltas) {
        if (closed) {
            return;
        }
        pendingTable = newestTable;
        if (newDeltas.isEmpty()) {
            pendingDeltas = null;
        }
        if (pendingDeltas != null) {
            pendingDeltas.addAll(newDeltas);
            newDeltas.forEach(each -> pendingDeltaBytes += History.sizeBytes(each));
            if (pendingDeltas.size() > History.MAX_DELTAS || pendingDeltaBytes > History.MAX_BYTES) {
                pendingDeltas = null;
            }
        }
        if (!writeScheduled) {
            writeScheduled = true;
            executor.execute(this::write);
        }
    }

    /** Current state. */
    public synchronized Status status() {
        return status;
    }

    private void write() {
        Table table = takePending();
        while (table != null) {
            List<Delta> deltasToWrite = takenDeltas;
            try {
                if (deltasToWrite == null) {
                    folder.write(clock.millis(), table);
                } else {
                    folder.append(clock.millis(), table, deltasToWrite);
                }
            } catch (IOException | IllegalArgumentException e) {
                writeFailed(table, e);
                return;
            }
            writeSucceeded(table.revision());
            table = takePending();
        }
    }

    private synchronized Table takePending() {
        Table table = pendingTable;
        takenDeltas = pendingDeltas;
        pendingTable = null;
        pendingDeltas = new ArrayList<>();
        pendingDeltaBytes = 0;
        writeScheduled = table != null;
        return table;
    }

    private void writeSucceeded(Revision revision) {
        String previousFailure;
        synchronized (this) {
            previousFailure = status.failure;
            status = new Status(revision, folder.sizeBytes(), null);
        }
        if (previousFailure != null) {
            events.event(Level.INFO, "config_folder_written", "the on-disk copy of the configuration is written again, at revision " + revision.number(), "number", revision.number());
        }
    }

    private void writeFailed(Table table, Exception e) {
        boolean firstFailure;
        synchronized (this) {
            firstFailure = status.failure == null;
            status = new Status(null, folder.sizeBytes(), String.valueOf(e.getMessage()));
            pendingTable = pendingTable == null ? table : pendingTable;
            pendingDeltas = null;  // what is on disk isn't known
            if (!closed) {
                executor.schedule(this::write, retryMillis, TimeUnit.MILLISECONDS);
            }
        }
        if (firstFailure) {
            events.event(Level.ERROR, "config_folder_unwritten", "the on-disk copy of the configuration can't be written; this process continues without it: " + e, "number",
                    table.revision().number());
        }
    }

    /** Writes what is pending, waiting for at most {@value #CLOSE_TIMEOUT_MILLIS} ms, and ends the thread. */
    @Override
    public void close() {
        CountDownLatch ended = new CountDownLatch(1);
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            executor.execute(() -> {
                write();
                ended.countDown();
            });
        }
        try {
            ended.await(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        executor.shutdownNow();
    }
}
