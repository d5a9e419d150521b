package mastdrift.distribution.edge;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/** A folder in memory that ends its process or has no room at any step of writing. What wasn't forced may be lost with the machine, from any byte on. */
final class MemoryFiles implements FolderFiles {

    /** The process ends here. */
    static final class Killed extends Error {
        private static final long serialVersionUID = 1L;
    }

    private static final class File {
        private byte[] bytes = {};
        private byte[] forced;  // null where the file itself isn't on disk yet
    }

    private final Map<String, File> files = new HashMap<>();
    private final Random random;
    private long steps;  // until the process ends: a write has three of them
    private long done;
    private boolean full;
    private long failed;

    /** With so many steps until it ends; {@code random} draws how much is written of what is broken off. */
    MemoryFiles(long steps, Random random) {
        this.steps = steps;
        this.random = random;
    }

    long done() {
        return done;
    }

    /** From now on every write fails, or none. */
    synchronized void full(boolean now) {
        full = now;
    }

    synchronized long failed() {
        return failed;
    }

    synchronized byte[] bytes(String name) {
        File file = files.get(name);
        return file == null ? null : file.bytes.clone();
    }

    synchronized MemoryFiles put(String name, byte[] bytes) {
        File file = new File();
        file.bytes = bytes;
        files.put(name, file);
        return this;
    }

    /** What the next process finds: all that was written, or with the machine gone too, what was forced and some bytes more. */
    MemoryFiles after(boolean machineToo) {
        MemoryFiles next = new MemoryFiles(Long.MAX_VALUE, random);
        files.forEach((name, file) -> {
            if (!machineToo) {
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
        if (full) {
            failed++;
            throw new IOException("No space left on device");
        }
        if (steps-- <= 0) {
            throw new Killed();
        }
        done++;
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
                synchronized (MemoryFiles.this) {
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
                synchronized (MemoryFiles.this) {
                    step();
                    file.forced = file.bytes.clone();
                }
            }

            @Override
            public void close() {
                // nothing is held
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
