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

/** The copy of the configuration that a process keeps in a folder: read once, at its start, and written behind what it is told. Where there can be no folder, everything else goes on. */
final class ConfigCopy implements AutoCloseable {

    private final Table found;
    private final boolean there;
    private final TableWriter writer;  // null where there can be no folder

    /** Reads what is there, and says what it is; waits for the disk. */
    ConfigCopy(Path path, long epoch, Events events) {
        TableFolder folder = null;
        TableFolder.ReadResult read = new TableFolder.ReadResult(null, 0, null);
        try {
            folder = new TableFolder(path);
            read = folder.read();
        } catch (IOException e) {
            events.event(Level.ERROR, "config_folder_unwritten", "there can be no copy of the configuration, this process goes on without: " + e);
        }
        if (read.problem() != null) {
            events.event(Level.WARN, "config_copy_unread", "not all of the copy can be read: " + read.problem());
        }
        if (read.table() == null) {
            events.event(Level.INFO, "config_copy_none", "no copy of the configuration is there");
        } else {
            Revision revision = read.table().revision();
            long age = read.ageMillis(Clock.systemUTC().millis());
            events.event(Level.INFO, "config_copy", "a copy of the configuration is there: revision " + revision.number() + " of epoch " + revision.epoch() + ", " + read.table().size()
                    + " resources, written " + age / 1_000 + " s ago", "number", revision.number(), "epoch", revision.epoch(), "age_ms", age);
        }
        there = read.table() != null;
        found = read.table() == null ? Table.empty(epoch) : read.table();
        writer = folder == null ? null : new TableWriter(folder, read.table(), Clock.systemUTC(), events);
    }

    /** The copy as it was found; an empty table where there was none. */
    Table found() {
        return found;
    }

    /** Whether there was one: at the beginning of an epoch its revision has number 0 like that of an empty table. */
    boolean there() {
        return there;
    }

    /** A later table, and what led there from the one before; no deltas where that isn't known. Waits for nothing. */
    void write(Table next, List<Delta> deltas) {
        if (writer != null) {
            writer.submit(next, deltas);
        }
    }

    /** The number of the revision that is on disk; null for not known. */
    Long written() {
        Revision written = writer == null ? null : writer.status().writtenRevision();
        return written == null ? null : written.number();
    }

    /** Writes what waits, then ends. */
    @Override
    public void close() {
        if (writer != null) {
            writer.close();
        }
    }
}
