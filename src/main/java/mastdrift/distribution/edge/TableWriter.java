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
 * Writes tables to their folder on a thread of its own, so that no event loop waits for a disk. What comes while it writes is written together next. Where it can't be
 * written, that is said once, the newest table is kept in mind, and it is tried again each {@value #RETRY_MILLIS} ms; that it can be again is said, too.
 *
 * <p>Bounded: it holds the newest table, and of the deltas that led there as many as a {@link History}; beyond them, the table is written whole.
 */
public final class TableWriter implements AutoCloseable {

    /** From one try to the next, where the disk fails. */
    public static final int RETRY_MILLIS = 10_000;
    private static final int CLOSE_MILLIS = 3_000;

    /**
     * How it does.
     *
     * @param written the revision on disk; null for not known
     * @param bytes of both files
     * @param failing why it can't be written; null where it can
     */
    public record Status(Revision written, long bytes, String failing) { }

    private final TableFolder folder;
    private final Clock clock;
    private final Events events;
    private final int retryMillis;
    private final ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1, new DefaultThreadFactory("config-folder", true));
    private Table next;  // null for nothing to write
    private List<Delta> deltas = new ArrayList<>();  // that lead there; null for the whole
    private long deltaBytes;
    private List<Delta> taken;  // by the thread
    private boolean armed;  // it writes, or will
    private boolean closed;
    private Status status;

    /** To a folder that was read, of which it found that table (or null). */
    public TableWriter(TableFolder folder, Table found, Clock clock, Events events) {
        this(folder, found, clock, events, RETRY_MILLIS);
    }

    TableWriter(TableFolder folder, Table found, Clock clock, Events events, int retryMillis) {
        this.folder = folder;
        this.clock = clock;
        this.events = events;
        this.retryMillis = retryMillis;
        status = new Status(found == null ? null : found.revision(), folder.bytes(), null);
    }

    /** The newest table, and what led there from the one before; with no deltas where that isn't known. From any thread; waits for nothing. */
    public synchronized void table(Table newest, List<Delta> led) {
        if (closed) {
            return;
        }
        next = newest;
        if (led.isEmpty()) {
            deltas = null;
        }
        if (deltas != null) {
            deltas.addAll(led);
            led.forEach(each -> deltaBytes += History.sizeBytes(each));
            if (deltas.size() > History.MAX_DELTAS || deltaBytes > History.MAX_BYTES) {
                deltas = null;
            }
        }
        if (!armed) {
            armed = true;
            thread.execute(this::write);
        }
    }

    /** How it does. */
    public synchronized Status status() {
        return status;
    }

    private void write() {
        Table table = taken();
        while (table != null) {
            List<Delta> led = taken;
            try {
                if (led == null) {
                    folder.write(clock.millis(), table);
                } else {
                    folder.append(clock.millis(), table, led);
                }
            } catch (IOException | IllegalArgumentException e) {
                failed(table, e);
                return;
            }
            done(table.revision());
            table = taken();
        }
    }

    private synchronized Table taken() {
        Table table = next;
        taken = deltas;
        next = null;
        deltas = new ArrayList<>();
        deltaBytes = 0;
        armed = table != null;
        return table;
    }

    private void done(Revision written) {
        String before;
        synchronized (this) {
            before = status.failing;
            status = new Status(written, folder.bytes(), null);
        }
        if (before != null) {
            events.event(Level.INFO, "config_folder_written", "the copy of the configuration is written again, at " + written.number(), "number", written.number());
        }
    }

    private void failed(Table table, Exception e) {
        boolean first;
        synchronized (this) {
            first = status.failing == null;
            status = new Status(null, folder.bytes(), String.valueOf(e.getMessage()));
            next = next == null ? table : next;
            deltas = null;  // what is on disk isn't known
            if (!closed) {
                thread.schedule(this::write, retryMillis, TimeUnit.MILLISECONDS);
            }
        }
        if (first) {
            events.event(Level.ERROR, "config_folder_unwritten", "the copy of the configuration can't be written, this process goes on without: " + e, "number",
                    table.revision().number());
        }
    }

    /** Writes what is waiting, for {@value #CLOSE_MILLIS} ms at most, and ends. */
    @Override
    public void close() {
        CountDownLatch ended = new CountDownLatch(1);
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            thread.execute(() -> {
                write();
                ended.countDown();
            });
        }
        try {
            ended.await(CLOSE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        thread.shutdownNow();
    }
}
