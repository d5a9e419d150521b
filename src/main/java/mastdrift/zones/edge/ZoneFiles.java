package mastdrift.zones.edge;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import mastdrift.zones.Escrow;
import mastdrift.zones.Snapshot;
import mastdrift.zones.ZoneSettings;

/** Writes and reads the files of one gateway, on a thread of its own. Each is replaced whole, and the state is on the disk before it is
    in place. While a write is under way the newest that came meanwhile waits, and no other. */
public final class ZoneFiles implements AutoCloseable {

    /** A state that isn't read. */
    private static final long STATE_MOST = 64 << 20;
    private static final long WORD_MOST = 1 << 20;
    private static final String WORD_NAMES = "budgets-*.json";

    private record Work(Snapshot snapshot, Escrow.Word word) { }

    private final Path state;
    private final Path report;
    private final Path shared;
    private final String gateway;
    private final Consumer<Escrow.Word> heard;
    private final Consumer<String> log;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(task -> {
        Thread made = new Thread(task, "zone-files");
        made.setDaemon(true);
        return made;
    });
    private final AtomicReference<Work> waiting = new AtomicReference<>();
    private String said = "";
    private FileChannel lock;
    private FileLock locked;

    /** Paths beside the gateway's file where they are relative. {@code heard} gets other gateways' words, on the thread of the files. */
    public ZoneFiles(Path gatewayFile, String gateway, ZoneSettings settings, Consumer<Escrow.Word> heard, Consumer<String> log) {
        this.gateway = gateway;
        this.heard = heard;
        this.log = log;
        Path folder = gatewayFile.toAbsolutePath().getParent();
        report = settings.reportFile() == null ? null : folder.resolve(settings.reportFile());
        shared = settings.sharedFolder() == null ? null : folder.resolve(settings.sharedFolder());
        Path kept = settings.stateFolder() == null ? null : folder.resolve(settings.stateFolder());
        state = kept != null && lock(kept) ? kept.resolve("zones-" + gateway + ".state") : null;
    }

    /** One process a folder and name: another one runs without a state. */
    private boolean lock(Path folder) {
        try {
            lock = FileChannel.open(folder.resolve("zones-" + gateway + ".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            locked = lock.tryLock();
        } catch (IOException | OverlappingFileLockException e) {
            say("no state is kept in " + folder + ": " + e);
            return false;
        }
        if (locked == null) {
            say("no state is kept in " + folder + ": another process of this name has it");
        }
        return locked != null;
    }

    private void say(String line) {
        if (!line.equals(said)) {  // once, and not every second
            said = line;
            log.accept(line);
        }
    }

    /** What an earlier process wrote, or null where there is nothing, or nothing to rely on, which is said. Waits for the disk. */
    public Snapshot earlier() {
        if (state == null || !Files.exists(state)) {
            return null;
        }
        try {
            return ZoneTexts.snapshot(ZoneTexts.opened(ZoneTexts.STATE, read(state, STATE_MOST)));
        } catch (IOException e) {
            say(state + " is not used: " + e.getMessage());
            return null;
        }
    }

    /** What an earlier process of this name told the others last, or null; for who keeps no state. Waits for the disk. */
    public Escrow.Word told() {
        Path own = shared == null ? null : shared.resolve("budgets-" + gateway + ".json");
        if (own == null || !Files.exists(own)) {
            return null;
        }
        try {
            return ZoneTexts.word(ZoneTexts.opened(ZoneTexts.WORD, read(own, WORD_MOST)));
        } catch (IOException e) {
            say(own + " is not used: " + e.getMessage());
            return null;
        }
    }

    /** Links are not followed: in a folder that others write to, they may lead anywhere. */
    private static byte[] read(Path file, long most) throws IOException {
        if (!Files.isRegularFile(file, LinkOption.NOFOLLOW_LINKS) || Files.size(file) > most) {
            throw new IOException("expected a file of at most " + most + " bytes");
        }
        return Files.readAllBytes(file);
    }

    /** Writes all files soon, and reads the words of others. Returns at once. */
    public void write(Snapshot snapshot, Escrow.Word word) {
        if (waiting.getAndSet(new Work(snapshot, word)) == null) {
            thread.execute(() -> work(waiting.getAndSet(null)));
        }
    }

    private void work(Work work) {
        boolean kept = state == null || save(state, () -> ZoneTexts.sealed(ZoneTexts.STATE, ZoneTexts.map(work.snapshot)), true);
        if (shared != null && kept) {  // only after the state: who forgets what it gave would spend it too
            save(shared.resolve("budgets-" + gateway + ".json"), () -> ZoneTexts.sealed(ZoneTexts.WORD, ZoneTexts.map(work.word)), false);
            others();
        }
        if (report != null) {
            save(report, () -> JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asBytes(ZoneTexts.map(work.snapshot)), false);
        }
    }

    private interface Bytes {
        byte[] make() throws IOException;
    }

    private boolean save(Path file, Bytes bytes, boolean lasting) {
        Path aside = file.resolveSibling("." + file.getFileName() + ".new");
        try {
            try (FileChannel out = FileChannel.open(aside, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING,
                    StandardOpenOption.WRITE)) {
                ByteBuffer buffer = ByteBuffer.wrap(bytes.make());
                while (buffer.hasRemaining()) {
                    out.write(buffer);
                }
                if (lasting) {
                    out.force(true);
                }
            }
            Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            if (lasting) {
                try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
                    folder.force(true);
                }
            }
            return true;
        } catch (IOException e) {
            say(file + " was not written: " + e);
            return false;
        }
    }

    private void others() {
        int read = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(shared, WORD_NAMES)) {
            for (Path file : files) {
                if (file.getFileName().toString().equals("budgets-" + gateway + ".json") || ++read > Escrow.PEERS_MOST) {
                    continue;
                }
                try {
                    heard.accept(ZoneTexts.word(ZoneTexts.opened(ZoneTexts.WORD, read(file, WORD_MOST))));
                } catch (IOException e) {
                    say(file + " is not used: " + e.getMessage());
                }
            }
        } catch (IOException e) {
            say("no words of others in " + shared + ": " + e);
        }
    }

    /** Writes what waits, and ends; waits for that, at most two seconds. */
    @Override
    public void close() {
        thread.shutdown();
        try {
            thread.awaitTermination(2, TimeUnit.SECONDS);
            if (locked != null) {
                locked.release();
            }
            if (lock != null) {
                lock.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            say("a lock was not released: " + e);
        }
    }
}
