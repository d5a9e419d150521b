package mastdrift.files;

import java.io.IOException;
import java.nio.file.FileSystems;
import java.nio.file.Path;
import java.nio.file.StandardWatchEventKinds;
import java.nio.file.WatchKey;
import java.nio.file.WatchService;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import mastdrift.config.Configuration;
import mastdrift.config.ConfigurationReader;

/**
 * Watches the gateway's file and the node lists that it includes, on a thread of its own, and passes their content on
 * once two reads, {@code settleMicros} apart, agree. File system events only wake it early. Every {@value
 * #POLL_INTERVAL_MILLIS} ms it compares size, modification time and inode, and every {@value
 * #CONTENT_CHECK_INTERVAL_MILLIS} ms the content, for file systems on which neither events nor metadata show a change.
 * It waits until the listener has handled one set of files before the next poll, so that at most one is in progress.
 */
public final class FileWatcher implements AutoCloseable {

    static final long POLL_INTERVAL_MILLIS = 250;
    static final long CONTENT_CHECK_INTERVAL_MILLIS = 5_000;
    // Files that keep changing for this long are reported, once per sequence of reads.
    private static final long UNSETTLED_REPORT_MILLIS = 5_000;
    private static final int CLOSE_TIMEOUT_MILLIS = 2_000;

    /** Receives the content of the files, on the watcher's thread. */
    public interface Listener {
        /** Applies a configuration as a whole; returns the reasons if it is rejected, none if it is applied. */
        List<String> apply(Configuration configuration);

        /**
         * Reports the problems of a set of files; empty if it was applied. Called again only when the files or the
         * problems change.
         */
        void onResult(List<String> problems);
    }

    private final Path file;
    private final String name;
    private final Listener listener;
    private final Thread thread;
    private WatchService events;
    private final Map<Path, WatchKey> folders = new HashMap<>();
    private List<String> files;
    private Map<String, FileContents.Stamp> stamps = Map.of();
    private FileContents lastProcessed;
    private List<String> problems = List.of();
    private long contentCheckedNanos;
    private volatile long settleMicros = TimeUnit.MILLISECONDS.toMicros(50);
    private volatile boolean closed;

    /** Nothing is read before {@link #readInitial}. */
    public FileWatcher(Path file, Listener listener) {
        this.file = file;
        this.name = FileContents.displayName(file);
        this.listener = listener;
        this.files = List.of(name);
        thread = new Thread(this::run, "files");
        thread.setDaemon(true);
    }

    /**
     * Reads the files and passes them on, on the caller's thread; returns the problems, empty if the configuration was
     * applied.
     */
    public List<String> readInitial() {
        process(FileSnapshot.of(file, files));
        return problems;
    }

    /** Starts watching. */
    public void start() {
        try {
            events = FileSystems.getDefault().newWatchService();
        } catch (IOException | UnsupportedOperationException e) {
            events = null;  // for instance out of file handles: polling continues without events
        }
        thread.start();
    }

    private void run() {
        while (!closed) {
            try {
                register();
                awaitEvents(stamps.isEmpty() ? 0 : POLL_INTERVAL_MILLIS);
                poll();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                reportProblems(List.of("error while reading the files: " + e));
            }
        }
    }

    private void awaitEvents(long millis) throws InterruptedException {
        if (events == null) {
            Thread.sleep(millis);
            return;
        }
        for (WatchKey key = events.poll(millis, TimeUnit.MILLISECONDS); key != null; key = events.poll()) {
            key.pollEvents();
            if (!key.reset()) {
                folders.clear();  // a folder was removed and may be created again
            }
        }
    }

    /**
     * Registers folders rather than files, since a rename into place creates a new file. Includes the folders that
     * links point to, and drops those that they no longer point to: each registration costs a system handle.
     */
    private void register() {
        if (events == null) {
            return;
        }
        FileContents contents = new FileContents(file);
        Set<Path> wanted = new HashSet<>();
        for (String each : files) {
            Path path = contents.path(each);
            wanted.add(path.getParent());
            try {
                wanted.add(path.toRealPath().getParent());
            } catch (IOException e) {
                continue;  // the file is absent: its folder reports when it appears
            }
        }
        folders.keySet().removeIf(folder -> {
            boolean obsolete = !wanted.contains(folder);
            if (obsolete) {
                folders.get(folder).cancel();
            }
            return obsolete;
        });
        wanted.forEach(this::register);
    }

    private void register(Path folder) {
        try {
            if (!folders.containsKey(folder)) {
                folders.put(folder, folder.register(events, StandardWatchEventKinds.ENTRY_CREATE,
                        StandardWatchEventKinds.ENTRY_DELETE, StandardWatchEventKinds.ENTRY_MODIFY));
            }
        } catch (IOException e) {
            folders.remove(folder);  // polling continues without events of this folder
        }
    }

    /** The number of folders that are registered for file system events. */
    int registeredFolderCount() {
        return folders.size();
    }

    /**
     * The state of the files at one moment: their stamps, taken before their content, so that a change during the read
     * is detected by the next poll; and their content.
     */
    private record FileSnapshot(Map<String, FileContents.Stamp> stamps, FileContents contents) {

        static FileSnapshot of(Path file, List<String> files) {
            FileContents contents = new FileContents(file);
            return new FileSnapshot(contents.stamps(files), contents.load(files));
        }
    }

    private void poll() throws InterruptedException {
        boolean contentCheckDue = System.nanoTime() - contentCheckedNanos
                > TimeUnit.MILLISECONDS.toNanos(CONTENT_CHECK_INTERVAL_MILLIS);
        if (!new FileContents(file).stamps(files).equals(stamps)) {
            process(readSettled());
        } else if (contentCheckDue) {
            contentCheckedNanos = System.nanoTime();
            FileSnapshot snapshot = FileSnapshot.of(file, files);
            if (!snapshot.contents.hasSameContent(lastProcessed)) {
                process(readSettled());
            } else if (!problems.isEmpty()) {
                // another source may have changed the configuration in force, so a rejected set may now be valid
                process(snapshot);
            }
        }
    }

    /** Reads until two consecutive reads agree. */
    private FileSnapshot readSettled() throws InterruptedException {
        long startNanos = System.nanoTime();
        boolean reported = false;
        FileSnapshot previous = FileSnapshot.of(file, files);
        while (true) {
            TimeUnit.MICROSECONDS.sleep(settleMicros);
            FileSnapshot snapshot = FileSnapshot.of(file, files);
            if (snapshot.contents.hasSameContent(previous.contents)) {
                return snapshot;
            }
            if (!reported && System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(UNSETTLED_REPORT_MILLIS)) {
                reported = true;
                reportProblems(List.of(name
                        + ": the files keep changing; they are applied only after staying unchanged for "
                        + settleMicros / 1000 + " ms"));
            }
            previous = snapshot;
        }
    }

    private void process(FileSnapshot snapshot) {
        stamps = snapshot.stamps;
        contentCheckedNanos = System.nanoTime();
        boolean unchanged = snapshot.contents.hasSameContent(lastProcessed);
        if (unchanged && problems.isEmpty()) {
            return;  // rewritten with the same content
        }
        ConfigurationReader.Result result = ConfigurationReader.read(name, snapshot.contents);
        if (!result.files().equals(files) && thread.isAlive()) {
            // the included files changed: the new ones must settle too, so the next poll processes them
            files = result.files();
            stamps = Map.of();
            return;
        }
        files = result.files();
        List<String> newProblems = result.configuration() == null
                ? result.problems() : listener.apply(result.configuration());
        if (result.configuration() != null) {
            settleMicros = result.configuration().gateway().settleMicros();
        }
        lastProcessed = snapshot.contents;
        if (!unchanged || !newProblems.equals(problems)) {
            reportProblems(newProblems);
        }
    }

    private void reportProblems(List<String> newProblems) {
        problems = newProblems;
        listener.onResult(newProblems);
    }

    /** Stops watching, waiting up to {@value #CLOSE_TIMEOUT_MILLIS} ms for a set of files in progress. */
    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        try {
            thread.join(CLOSE_TIMEOUT_MILLIS);
            if (events != null) {
                events.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            return;  // the descriptor is released when the process exits
        }
    }
}
