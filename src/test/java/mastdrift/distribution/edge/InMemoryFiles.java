package mastdrift.distribution.edge;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * In-memory folder that simulates a process kill or a full disk at any step of writing. Data that wasn't forced may be
 * lost from any byte on in a machine crash.
 */
final class InMemoryFiles implements FolderFiles {

    /** Thrown where the simulated process is killed. */
    static final class ProcessKilled extends Error {
        private static final long serialVersionUID = 1L;
    }

    private static final class File {
        private byte[] bytes = {};
        private byte[] forced;  // null if the file itself isn't on disk yet
    }

    private final Map<String, File> files = new HashMap<>();
    private final Random random;
    private long stepsLeft;  // until the process is killed; a write takes three steps
    private long stepsDone;
    private boolean diskFull;
    private long failedWrites;

    /** Kills the process after {@code stepsLeft} steps; {@code random} draws what survives a machine crash. */
    InMemoryFiles(long stepsLeft, Random random) {
        this.stepsLeft = stepsLeft;
        this.random = random;
    }

    long stepsDone() {
        return stepsDone;
    }

    /** Sets whether every write fails for lack of disk space. */
    synchronized void setDiskFull(boolean full) {
        diskFull = full;
    }

    synchronized long failedWrites() {
        return failedWrites;
    }

    synchronized byte[] bytes(String name) {
        File file = files.get(name);
        return file == null ? null : file.bytes.clone();
    }

    synchronized InMemoryFiles put(String name, byte[] bytes) {
        File file = new File();
        file.bytes = bytes;
        files.put(name, file);
        return this;
    }

    /**
     * What the next process finds: all that was written, or after a machine crash what was forced and possibly some
     * bytes more.
     */
    InMemoryFiles afterCrash(boolean machineCrash) {
        InMemoryFiles next = new InMemoryFiles(Long.MAX_VALUE, random);
        files.forEach((name, file) -> {
            if (!machineCrash) {
                next.put(name, file.bytes);
            } else if (file.forced != null) {
                boolean grown = file.bytes.length >= file.forced.length && Arrays.equals(file.bytes, 0, file.forced.length, file.forced, 0, file.forced.length);
                next.put(name, !grown ? random.nextBoolean() ? file.bytes : file.forced
                        : Arrays.copyOf(file.bytes, file.forced.length + random.nextInt(file.bytes.length - file.forced.length + 1)));
            } else if (random.nextBoolean()) {
                next.put(name, Arrays.copyOf(file.bytes, random.nextInt(file.bytes.length + 1)));
            }
        });
        return next;
    }

    private void step() throws IOException {
        if (diskFull) {
            failedWrites++;
            throw new IOException("No space left on device");
        }
        if (stepsLeft-- <= 0) {
            throw new ProcessKilled();
        }
        stepsDone++;
    }

    @Override
    public synchronized long length(String name) {
        File file = files.get(name);
        return file == null ? -1 : file.bytes.length;
    }

    @Override
    public synchronized InputStream openForRead(String name) {
        return new ByteArrayInputStream(files.get(name).bytes.clone());
    }

    @Override
    public synchronized Sink openForWrite(String name, long from) throws IOException {
        step();
        File file = files.computeIfAbsent(name, made -> new File());
        file.bytes = Arrays.copyOf(file.bytes, (int) from);
        return new Sink() {

            @Override
            public void write(byte[] bytes) throws IOException {
                synchronized (InMemoryFiles.this) {
                    int before = file.bytes.length;
                    int[] parts = {1, bytes.length / 2, bytes.length};
                    for (int part : parts) {
                        step();
                        file.bytes = Arrays.copyOf(file.bytes, before + part);
                        System.arraycopy(bytes, 0, file.bytes, before, part);
                    }
                }
            }

            @Override
            public void force() throws IOException {
                synchronized (InMemoryFiles.this) {
                    step();
                    file.forced = file.bytes.clone();
                }
            }

            @Override
            public void close() {
                // nothing to close
            }
        };
    }

    @Override
    public synchronized void rename(String from, String to) throws IOException {
        step();
        files.put(to, files.remove(from));
        step();
    }

    @Override
    public synchronized void delete(String name) {
        files.remove(name);
    }
}
