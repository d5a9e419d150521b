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

/**
 * Reads and writes one gateway's zone files on a thread of its own. Each file is replaced atomically; the state is
 * flushed to disk before it replaces the old one. While a write is in progress, only the latest pending write is kept.
 */
public final class ZoneFileStore implements AutoCloseable {

    /** Size above which a state file is not read. */
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

    /**
     * Relative paths are resolved against the directory of the gateway's configuration file. {@code
     * announcementListener} receives other gateways' announcements, on the file thread.
     */
    public ZoneFileStore(Path gatewayFile, String gateway, ZoneSettings settings,
            Consumer<Escrow.Announcement> announcementListener, Consumer<String> log) {
        this.gateway = gateway;
        this.announcementListener = announcementListener;
        this.log = log;
        Path folder = gatewayFile.toAbsolutePath().getParent();
        reportFile = settings.reportFile() == null ? null : folder.resolve(settings.reportFile());
        sharedFolder = settings.sharedFolder() == null ? null : folder.resolve(settings.sharedFolder());
        Path stateFolder = settings.stateFolder() == null ? null : folder.resolve(settings.stateFolder());
        stateFile = stateFolder != null && acquireLock(stateFolder) ? stateFolder.resolve("zones-" + gateway + ".state")
                : null;
    }

    /** One process per directory and gateway name: another one runs without a state file. */
    private boolean acquireLock(Path folder) {
        try {
            lockChannel = FileChannel.open(folder.resolve("zones-" + gateway + ".lock"), StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE);
            fileLock = lockChannel.tryLock();
        } catch (IOException | OverlappingFileLockException e) {
            logOnce("no state is kept in " + folder + ": " + e);
            return false;
        }
        if (fileLock == null) {
            logOnce("no state is kept in " + folder + ": another process of this gateway name holds the lock");
        }
        return fileLock != null;
    }

    private void logOnce(String line) {
        if (!line.equals(lastLogged)) {  // a repeated message is logged once, not every second
            lastLogged = line;
            log.accept(line);
        }
    }

    /**
     * The snapshot that an earlier process saved, or null if there is none or it can't be used, which is logged. Blocks
     * on the disk.
     */
    public ZoneSnapshot readSnapshot() {
        if (stateFile == null || !Files.exists(stateFile)) {
            return null;
        }
        try {
            return ZoneStateCodec.snapshot(ZoneStateCodec.unwrap(ZoneStateCodec.STATE_FORMAT,
                    read(stateFile, MAX_STATE_BYTES)));
        } catch (IOException e) {
            logOnce(stateFile + " is not used: " + e.getMessage());
            return null;
        }
    }

    /**
     * The last announcement of an earlier process of this gateway, or null; for gateways that save no state. Blocks on
     * the disk.
     */
    public Escrow.Announcement readOwnAnnouncement() {
        Path own = sharedFolder == null ? null : sharedFolder.resolve("budgets-" + gateway + ".json");
        if (own == null || !Files.exists(own)) {
            return null;
        }
        try {
            return ZoneStateCodec.announcement(ZoneStateCodec.unwrap(ZoneStateCodec.ANNOUNCEMENT_FORMAT,
                    read(own, MAX_ANNOUNCEMENT_BYTES)));
        } catch (IOException e) {
            logOnce(own + " is not used: " + e.getMessage());
            return null;
        }
    }

    /** Symbolic links are not followed: the shared directory is writable by others, so a link may lead anywhere. */
    private static byte[] read(Path file, long maxBytes) throws IOException {
        if (!Files.isRegularFile(file, LinkOption.NOFOLLOW_LINKS) || Files.size(file) > maxBytes) {
            throw new IOException("expected a file of at most " + maxBytes + " bytes");
        }
        return Files.readAllBytes(file);
    }

    /** Schedules a write of all files and a read of other gateways' announcements. Returns at once. */
    public void write(ZoneSnapshot snapshot, Escrow.Announcement announcement) {
        if (pendingWrite.getAndSet(new PendingWrite(snapshot, announcement)) == null) {
            executor.execute(() -> writeAll(pendingWrite.getAndSet(null)));
        }
    }

    private void writeAll(PendingWrite write) {
        boolean stateSaved = stateFile == null || save(stateFile,
                () -> ZoneStateCodec.wrap(ZoneStateCodec.STATE_FORMAT, ZoneStateCodec.toMap(write.snapshot)), true);
        // only after the state is saved: a gateway that forgets a transfer would spend it too
        if (sharedFolder != null && stateSaved) {
            save(sharedFolder.resolve("budgets-" + gateway + ".json"),
                    () -> ZoneStateCodec.wrap(ZoneStateCodec.ANNOUNCEMENT_FORMAT,
                    ZoneStateCodec.toMap(write.announcement)), false);
            readAnnouncements();
        }
        if (reportFile != null) {
            save(reportFile, () -> JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT)
                    .asBytes(ZoneStateCodec.toMap(write.snapshot)), false);
        }
    }

    private interface ContentEncoder {
        byte[] encode() throws IOException;
    }

    private boolean save(Path file, ContentEncoder content, boolean durable) {
        Path temporary = file.resolveSibling("." + file.getFileName() + ".new");
        try {
            try (FileChannel out = FileChannel.open(temporary, StandardOpenOption.CREATE,
                    StandardOpenOption.TRUNCATE_EXISTING,
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
                if (file.getFileName().toString().equals("budgets-" + gateway + ".json")
                        || ++readCount > Escrow.MAX_PEERS) {
                    continue;
                }
                try {
                    announcementListener.accept(ZoneStateCodec.announcement(
                            ZoneStateCodec.unwrap(ZoneStateCodec.ANNOUNCEMENT_FORMAT,
                                    read(file, MAX_ANNOUNCEMENT_BYTES))));
                } catch (IOException e) {
                    logOnce(file + " is not used: " + e.getMessage());
                }
            }
        } catch (IOException e) {
            logOnce("cannot read other gateways' announcements in " + sharedFolder + ": " + e);
        }
    }

    /** Writes what is pending and stops; waits for that at most two seconds. */
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
