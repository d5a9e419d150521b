package mastdrift.distribution.edge;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** File operations that {@link TableFolder} needs, as an interface so that tests can fail or abort each single step. */
interface FolderFiles {

    /** A file that is open for writing. */
    interface Sink extends Closeable {

        /** Appends the bytes at the current position. */
        void write(byte[] bytes) throws IOException;

        /** Flushes the file to disk before it returns. */
        void force() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** Length of a file in bytes; -1 if it doesn't exist. */
    long length(String name) throws IOException;

    /** Opens an existing file for reading. */
    InputStream openForRead(String name) throws IOException;

    /**
     * Opens a file for writing from an offset; truncates what follows the offset. Creates the file if it doesn't exist.
     */
    Sink openForWrite(String name, long offset) throws IOException;

    /** Atomically renames a file, replacing an existing target; the rename is on disk when this returns. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Files of a directory on disk, which is created if it doesn't exist. */
    static FolderFiles of(Path folder) throws IOException {
        Files.createDirectories(folder);
        return new FolderFiles() {

            @Override
            public long length(String name) throws IOException {
                Path file = folder.resolve(name);
                return Files.exists(file) ? Files.size(file) : -1;
            }

            @Override
            public InputStream openForRead(String name) throws IOException {
                return Files.newInputStream(folder.resolve(name));
            }

            @Override
            public Sink openForWrite(String name, long offset) throws IOException {
                FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                try {
                    channel.truncate(offset).position(offset);
                } catch (IOException e) {
                    channel.close();
                    throw e;
                }
                return new Sink() {

                    @Override
                    public void write(byte[] bytes) throws IOException {
                        ByteBuffer left = ByteBuffer.wrap(bytes);
                        while (left.hasRemaining()) {
                            channel.write(left);
                        }
                    }

                    @Override
                    public void force() throws IOException {
                        channel.force(false);  // also writes the file length, which a reader needs
                    }

                    @Override
                    public void close() throws IOException {
                        channel.close();
                    }
                };
            }

            @Override
            public void rename(String from, String to) throws IOException {
                Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
                    directory.force(true);  // without this, a machine crash can lose the rename
                }
            }

            @Override
            public void delete(String name) throws IOException {
                Files.deleteIfExists(folder.resolve(name));
            }
        };
    }
}
