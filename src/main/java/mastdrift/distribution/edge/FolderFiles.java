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

/** What {@link TableFolder} does with files, step by step, so that a test can end or fail each of them. */
interface FolderFiles {

    /** A file that is being written. */
    interface Sink extends Closeable {

        /** Behind what is there. */
        void write(byte[] bytes) throws IOException;

        /** On disk once it returns. */
        void force() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** Bytes of a file; -1 where there is none. */
    long length(String name) throws IOException;

    /** Of a file that is there. */
    InputStream read(String name) throws IOException;

    /** Writes on from a place; what is behind it is cut off. Makes the file where there is none. */
    Sink write(String name, long from) throws IOException;

    /** In place of a file that may be there, whole or not; on disk once it returns. */
    void rename(String from, String to) throws IOException;

    /** Where it is there. */
    void delete(String name) throws IOException;

    /** Of a folder on disk, which is made where it isn't there. */
    static FolderFiles of(Path folder) throws IOException {
        Files.createDirectories(folder);
        return new FolderFiles() {

            @Override
            public long length(String name) throws IOException {
                Path file = folder.resolve(name);
                return Files.exists(file) ? Files.size(file) : -1;
            }

            @Override
            public InputStream read(String name) throws IOException {
                return Files.newInputStream(folder.resolve(name));
            }

            @Override
            public Sink write(String name, long from) throws IOException {
                FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                try {
                    channel.truncate(from).position(from);
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
                        channel.force(false);  // the length too, which a reader needs
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
                    directory.force(true);  // or the name may be lost with the machine
                }
            }

            @Override
            public void delete(String name) throws IOException {
                Files.deleteIfExists(folder.resolve(name));
            }
        };
    }
}
