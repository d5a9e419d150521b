package mastdrift.net;

import java.io.IOException;
import java.io.RandomAccessFile;

/** For how long the calling thread was ready to run and had no core, by the second figure of {@code /proc/thread-self/schedstat}
    (Linux, Documentation/scheduler/sched-stats.rst): other programs on the core, and a limit on processor time. Reads memory of
    the kernel, about a microsecond and a half, and never waits for a disk. */
final class RunQueue {

    private static final String FIGURES = "/proc/thread-self/schedstat";

    private final byte[] text = new byte[96];
    private RandomAccessFile file;

    /** Opens it for the thread that calls; where the system has no such figures, {@link #micros} stays 0. */
    void open() {
        try {
            file = new RandomAccessFile(FIGURES, "r");
        } catch (IOException e) {
            file = null;
        }
    }

    /** Microseconds since the thread began. */
    long micros() {
        if (file == null) {
            return 0;
        }
        try {
            file.seek(0);
            return second(file.read(text)) / 1000;
        } catch (IOException e) {
            close();
            return 0;
        }
    }

    /** The second of the numbers in the first {@code length} bytes, 0 where there is none. */
    private long second(int length) {
        long value = 0;
        int spaces = 0;
        for (int i = 0; i < length && spaces < 2; i++) {
            if (text[i] == ' ') {
                spaces++;
            } else if (spaces == 1) {
                value = value * 10 + text[i] - '0';
            }
        }
        return spaces == 2 ? value : 0;
    }

    void close() {
        RandomAccessFile open = file;
        file = null;
        try {
            if (open != null) {
                open.close();
            }
        } catch (IOException e) {
            // of a file that was only read nothing is lost
        }
    }
}
