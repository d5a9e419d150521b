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
 * Watches the gateway's file and the node lists that it includes, on a thread of its own, and hands on what they hold once
 * it reads the same twice, {@code settle} apart. Events of the file system only wake it: at each look, every
 * {@value #LOOK_MILLIS} ms, it compares size, time and inode, and every {@value #CONTENT_MILLIS} ms the content, for file
 * systems that tell nothing. It waits for each verdict before the next look, so that no more than one set is on its way.
 */
public final class Watcher implements AutoCloseable {

    static final long LOOK_MILLIS = 250;
    static final long CONTENT_MILLIS = 5_000;
    // Files that are never the same twice for so long are reported, once.
    private static final long UNSETTLED_MILLIS = 5_000;
    private static final int JOIN_MILLIS = 2_000;

    /** Who takes what the files hold; called on the watcher's thread. */
    public interface Taker {
        /** Puts a configuration in force whole, or tells why not. */
        List<String> take(Configuration configuration);

        /** What came of a set: no problems where it was taken. Told again only once the files or the problems change. */
        void judged(List<String> problems);
    }

    private final Path file;
    private final String name;
    private final Taker taker;
    private final Thread thread;
    private WatchService events;
    private final Map<Path, WatchKey> folders = new HashMap<>();
    private List<String> files;
    private Map<String, FileTexts.Stamp> stamps = Map.of();
    private FileTexts judged;
    private List<String> problems = List.of();
    private long contentAt;
    private volatile long settle = TimeUnit.MILLISECONDS.toMicros(50);
    private volatile boolean closed;

    /** Nothing is read before {@link #first}. */
    public Watcher(Path file, Taker taker) {
        this.file = file;
        this.name = FileTexts.name(file);
        this.taker = taker;
        this.files = List.of(name);
        thread = new Thread(this::run, "files");
        thread.setDaemon(true);
    }

    /** Reads and hands on what the files hold now, on the caller's thread; returns the problems, none where it was taken. */
    public List<String> first() {
        judge(Shot.of(file, files));
        return problems;
    }

    /** Begins to watch. */
    public void start() {
        try {
            events = FileSystems.getDefault().newWatchService();
        } catch (IOException | UnsupportedOperationException e) {
            events = null;  // out of handles, say: looks go on
        }
        thread.start();
    }

    private void run() {
        while (!closed) {
            try {
                register();
                await(stamps.isEmpty() ? 0 : LOOK_MILLIS);
                look();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                tell(List.of("fault while files were read: " + e));
            }
        }
    }

    private void await(long millis) throws InterruptedException {
        if (events == null) {
            Thread.sleep(millis);
            return;
        }
        for (WatchKey key = events.poll(millis, TimeUnit.MILLISECONDS); key != null; key = events.poll()) {
            key.pollEvents();
            if (!key.reset()) {
                folders.clear();  // a folder went away and may come again
            }
        }
    }

    /** Folders, since a file that is renamed into place is another file; also those that links lead to, and no longer those
        that they led to: each costs a handle of the system's. */
    private void register() {
        if (events == null) {
            return;
        }
        FileTexts texts = new FileTexts(file);
        Set<Path> wanted = new HashSet<>();
        for (String each : files) {
            Path path = texts.path(each);
            wanted.add(path.getParent());
            try {
                wanted.add(path.toRealPath().getParent());
            } catch (IOException e) {
                continue;  // not there now: its folder tells when it is
            }
        }
        folders.keySet().removeIf(folder -> {
            boolean left = !wanted.contains(folder);
            if (left) {
                folders.get(folder).cancel();
            }
            return left;
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
            folders.remove(folder);  // looks go on
        }
    }

    /** Folders that the file system is asked to tell of. */
    int watched() {
        return folders.size();
    }

    /** What the files were like at one moment: their stamps, taken first, so that what changes while they are read shows at
        the next look; and what they held. */
    private record Shot(Map<String, FileTexts.Stamp> stamps, FileTexts texts) {

        static Shot of(Path file, List<String> files) {
            FileTexts texts = new FileTexts(file);
            return new Shot(texts.stamps(files), texts.load(files));
        }
    }

    private void look() throws InterruptedException {
        boolean due = System.nanoTime() - contentAt > TimeUnit.MILLISECONDS.toNanos(CONTENT_MILLIS);
        if (!new FileTexts(file).stamps(files).equals(stamps)) {
            judge(settled());
        } else if (due) {
            contentAt = System.nanoTime();
            Shot shot = Shot.of(file, files);
            if (!shot.texts.same(judged)) {
                judge(settled());
            } else if (!problems.isEmpty()) {
                judge(shot);  // what is in force may have changed meanwhile, by another source
            }
        }
    }

    /** Reads until two reads agree. */
    private Shot settled() throws InterruptedException {
        long since = System.nanoTime();
        boolean told = false;
        Shot before = Shot.of(file, files);
        while (true) {
            TimeUnit.MICROSECONDS.sleep(settle);
            Shot shot = Shot.of(file, files);
            if (shot.texts.same(before.texts)) {
                return shot;
            }
            if (!told && System.nanoTime() - since > TimeUnit.MILLISECONDS.toNanos(UNSETTLED_MILLIS)) {
                told = true;
                tell(List.of(name + ": the files go on changing; nothing is taken before they stay the same for "
                        + settle / 1000 + " ms"));
            }
            before = shot;
        }
    }

    private void judge(Shot shot) {
        stamps = shot.stamps;
        contentAt = System.nanoTime();
        boolean again = shot.texts.same(judged);
        if (again && problems.isEmpty()) {
            return;  // touched, or saved as it was
        }
        ConfigurationReader.Result result = ConfigurationReader.read(name, shot.texts);
        if (!result.files().equals(files) && thread.isAlive()) {
            files = result.files();  // it names others now: they too have to stay the same, so the next look judges
            stamps = Map.of();
            return;
        }
        files = result.files();
        List<String> found = result.configuration() == null ? result.problems() : taker.take(result.configuration());
        if (result.configuration() != null) {
            settle = result.configuration().gateway().settle();
        }
        judged = shot.texts;
        if (!again || !found.equals(problems)) {
            tell(found);
        }
    }

    private void tell(List<String> found) {
        problems = found;
        taker.judged(found);
    }

    /** Ends the watching; what is being judged is judged first. */
    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        try {
            thread.join(JOIN_MILLIS);
            if (events != null) {
                events.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            return;  // its descriptor is given back with the process
        }
    }
}
