package mastdrift.serve;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Revision;
import mastdrift.distribution.Table;
import mastdrift.distribution.edge.TableFolder;
import mastdrift.distribution.edge.TableWriter;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;

/**
 * The copy of the configuration on disk: read once when the process starts, then written in the background after each
 * change. Without a usable folder the process runs on without a copy.
 */
final class ConfigCopy implements AutoCloseable {

    private final Table initialTable;
    private final boolean exists;
    private final TableWriter writer;  // null if the folder can't be used

    /** Reads the copy and reports what was found. Blocks on the disk. */
    ConfigCopy(Path path, long epoch, Events events) {
        TableFolder folder = null;
        TableFolder.ReadResult result = new TableFolder.ReadResult(null, 0, null);
        try {
            folder = new TableFolder(path);
            result = folder.read();
        } catch (IOException e) {
            events.event(Level.ERROR, "config_folder_unwritten", "the folder for the copy of the configuration can't be used, continuing without a copy: " + e);
        }
        if (result.problem() != null) {
            events.event(Level.WARN, "config_copy_unread", "the copy of the configuration can't be read completely: "
                    + result.problem());
        }
        if (result.table() == null) {
            events.event(Level.INFO, "config_copy_none", "no copy of the configuration is there");
        } else {
            Revision revision = result.table().revision();
            long ageMillis = result.ageMillis(Clock.systemUTC().millis());
            events.event(Level.INFO, "config_copy", "a copy of the configuration is there: revision " + revision.number() + " of epoch " + revision.epoch() + ", " + result.table().size()
                    + " resources, written " + ageMillis / 1_000 + " s ago", "number", revision.number(), "epoch", revision.epoch(), "age_ms", ageMillis);
        }
        exists = result.table() != null;
        initialTable = result.table() == null ? Table.empty(epoch) : result.table();
        writer = folder == null ? null : new TableWriter(folder, result.table(), Clock.systemUTC(), events);
    }

    /** The table that was read at the start; an empty table if there was no copy. */
    Table initialTable() {
        return initialTable;
    }

    /**
     * Whether there was a copy. The revision doesn't tell: at the beginning of an epoch it has number 0 like that of an
     * empty table.
     */
    boolean exists() {
        return exists;
    }

    /**
     * Queues a later table for writing, with the deltas that lead to it from the previous one; an empty list if they
     * are not known. Doesn't block.
     */
    void write(Table next, List<Delta> deltas) {
        if (writer != null) {
            writer.submit(next, deltas);
        }
    }

    /** The number of the revision on disk; null if it is not known. */
    Long writtenRevision() {
        Revision written = writer == null ? null : writer.status().writtenRevision();
        return written == null ? null : written.number();
    }

    /** Writes what is queued, then stops. */
    @Override
    public void close() {
        if (writer != null) {
            writer.close();
        }
    }
}
