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
import mastdrift.zones.ZoneSnapshot;
import mastdrift.zones.ZoneSettings;

/** Writes and reads the files of one gateway, on a thread of its own. Each is replaced whole, and the state is on the disk before it is
    in place. While a write is under way the newest that came meanwhile waits, and no other. */
public final class ZoneFileStore implements AutoCloseable {

    /** A state that isn't read. */
    private static final long MAX_STATE_BYTES = 64 << 20;
    private static final long MAX_ANNOUNCEMENT_BYTES = 1 << 20;
    private static final String ANNOUNCEMENT_GLOB = "budgets-*.json";

    private record PendingWrite(ZoneSnapshot snapshot, Escrow.Announcement announcement) { }

    private final Path stateFile;
    private final Path reportFile;
    private final Path sharedFolder;
    private final String gateway;
    private final Consumer<Escrow.Announcement> announcementListener;
    private final Consumer<String> log;
    private final ExecutorService executor = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "zone-files");
        thread.setDaemon(true);
        return thread;
    });
    private final AtomicReference<PendingWrite> pendingWrite = new AtomicReference<>();
    private String lastLogged = "";
    private FileChannel lockChannel;
    private FileLock fileLock;

    /** Paths beside the gateway's file where they are relative. {@code announcementListener} gets other gateways' words, on the thread of the files. */
    public ZoneFileStore(Path gatewayFile, String gateway, ZoneSettings settings, Consumer<Escrow.Announcement> announcementListener, Consumer<String> log) {
        this.gateway = gateway;
        this.announcementListener = announcementListener;
        this.log = log;
        Path folder = gatewayFile.toAbsolutePath().getParent();
        reportFile = settings.reportFile() == null ? null : folder.resolve(settings.reportFile());
        sharedFolder = settings.sharedFolder() == null ? null : folder.resolve(settings.sharedFolder());
        Path stateFolder = settings.stateFolder() == null ? null : folder.resolve(settings.stateFolder());
        stateFile = stateFolder != null && acquireLock(stateFolder) ? stateFolder.resolve("zones-" + gateway + ".state") : null;
    }

    /** One process a folder and name: another one runs without a state. */
    private boolean acquireLock(Path folder) {
        try {
            lockChannel = FileChannel.open(folder.resolve("zones-" + gateway + ".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            fileLock = lockChannel.tryLock();
        } catch (IOException | OverlappingFileLockException e) {
            logOnce("no state is kept in " + folder + ": " + e);
            return false;
        }
        if (fileLock == null) {
            logOnce("no state is kept in " + folder + ": another process of this name has it");
        }
        return fileLock != null;
    }

    private void logOnce(String line) {
        if (!line.equals(lastLogged)) {  // once, and not every second
            lastLogged = line;
            log.accept(line);
        }
    }

    /** What an earlier process wrote, or null where there is nothing, or nothing to rely on, which is said. Waits for the disk. */
    public ZoneSnapshot readSnapshot() {
        if (stateFile == null || !Files.exists(stateFile)) {
            return null;
        }
        try {
            return ZoneStateCodec.snapshot(ZoneStateCodec.unwrap(ZoneStateCodec.STATE_FORMAT, read(stateFile, MAX_STATE_BYTES)));
        } catch (IOException e) {
            logOnce(stateFile + " is not used: " + e.getMessage());
            return null;
        }
    }

    /** What an earlier process of this name told the others last, or null; for who keeps no state. Waits for the disk. */
    public Escrow.Announcement readOwnAnnouncement() {
        Path own = sharedFolder == null ? null : sharedFolder.resolve("budgets-" + gateway + ".json");
        if (own == null || !Files.exists(own)) {
            return null;
        }
        try {
            return ZoneStateCodec.announcement(ZoneStateCodec.unwrap(ZoneStateCodec.ANNOUNCEMENT_FORMAT, read(own, MAX_ANNOUNCEMENT_BYTES)));
        } catch (IOException e) {
            logOnce(own + " is not used: " + e.getMessage());
            return null;
        }
    }

    /** Links are not followed: in a folder that others write to, they may lead anywhere. */
    private static byte[] read(Path file, long maxBytes) throws IOException {
        if (!Files.isRegularFile(file, LinkOption.NOFOLLOW_LINKS) || Files.size(file) > maxBytes) {
            throw new IOException("expected a file of at most " + maxBytes + " bytes");
        }
        return Files.readAllBytes(file);
    }

    /** Writes all files soon, and reads the words of others. Returns at once. */
    public void write(ZoneSnapshot snapshot, Escrow.Announcement announcement) {
        if (pendingWrite.getAndSet(new PendingWrite(snapshot, announcement)) == null) {
            executor.execute(() -> writeAll(pendingWrite.getAndSet(null)));
        }
    }

    private void writeAll(PendingWrite write) {
        boolean stateSaved = stateFile == null || save(stateFile, () -> ZoneStateCodec.wrap(ZoneStateCodec.STATE_FORMAT, ZoneStateCodec.toMap(write.snapshot)), true);
        if (sharedFolder != null && stateSaved) {  // only after the state: who forgets what it gave would spend it too
            save(sharedFolder.resolve("budgets-" + gateway + ".json"), () -> ZoneStateCodec.wrap(ZoneStateCodec.ANNOUNCEMENT_FORMAT, ZoneStateCodec.toMap(write.announcement)), false);
            readAnnouncements();
        }
        if (reportFile != null) {
            save(reportFile, () -> JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asBytes(ZoneStateCodec.toMap(write.snapshot)), false);
        }
    }

    private interface ContentEncoder {
        byte[] encode() throws IOException;
    }

    private boolean save(Path file, ContentEncoder content, boolean durable) {
        Path temporary = file.resolveSibling("." + file.getFileName() + ".new");
        try {
            try (FileChannel out = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING,
                    StandardOpenOption.WRITE)) {
                ByteBuffer buffer = ByteBuffer.wrap(content.encode());
                while (buffer.hasRemaining()) {
                    out.write(buffer);
                }
                if (durable) {
                    out.force(true);
                }
            }
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            if (durable) {
                try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
                    folder.force(true);
                }
            }
            return true;
        } catch (IOException e) {
            logOnce(file + " was not written: " + e);
            return false;
        }
    }

    private void readAnnouncements() {
        int readCount = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(sharedFolder, ANNOUNCEMENT_GLOB)) {
            for (Path file : files) {
                if (file.getFileName().toString().equals("budgets-" + gateway + ".json") || ++readCount > Escrow.MAX_PEERS) {
                    continue;
                }
                try {
                    announcementListener.accept(ZoneStateCodec.announcement(ZoneStateCodec.unwrap(ZoneStateCodec.ANNOUNCEMENT_FORMAT, read(file, MAX_ANNOUNCEMENT_BYTES))));
                } catch (IOException e) {
                    logOnce(file + " is not used: " + e.getMessage());
                }
            }
        } catch (IOException e) {
            logOnce("no words of others in " + sharedFolder + ": " + e);
        }
    }

    /** Writes what waits, and ends; waits for that, at most two seconds. */
    @Override
    public void close() {
        executor.shutdown();
        try {
            executor.awaitTermination(2, TimeUnit.SECONDS);
            if (fileLock != null) {
                fileLock.release();
            }
            if (lockChannel != null) {
                lockChannel.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            logOnce("a lock was not released: " + e);
        }
    }
}
