package mastdrift.net;

import java.io.IOException;
import java.io.RandomAccessFile;

/**
 * How long the calling thread was ready to run but had no core, because of other programs on the core or a limit on
 * processor time: the second value of {@code /proc/thread-self/schedstat} (Linux,
 * Documentation/scheduler/sched-stats.rst). A read takes about 1.5 microseconds, reads kernel memory and never waits
 * for a disk.
 */
final class RunQueueDelay {

    private static final String SCHEDSTAT_PATH = "/proc/thread-self/schedstat";

    private final byte[] buffer = new byte[96];
    private RandomAccessFile file;

    /** Opens the file for the calling thread; if the system doesn't provide it, {@link #totalMicros} returns 0. */
    void open() {
        try {
            file = new RandomAccessFile(SCHEDSTAT_PATH, "r");
        } catch (IOException e) {
            file = null;
        }
    }

    /** The delay since the thread started, in microseconds; 0 if it can't be read. */
    long totalMicros() {
        if (file == null) {
            return 0;
        }
        try {
            file.seek(0);
            return secondNumber(file.read(buffer)) / 1000;
        } catch (IOException e) {
            close();
            return 0;
        }
    }

    /** The second number in the first {@code length} bytes; 0 if there is none. */
    private long secondNumber(int length) {
        long number = 0;
        int spaces = 0;
        for (int i = 0; i < length && spaces < 2; i++) {
            if (buffer[i] == ' ') {
                spaces++;
            } else if (spaces == 1) {
                number = number * 10 + buffer[i] - '0';
            }
        }
        return spaces == 2 ? number : 0;
    }

    void close() {
        RandomAccessFile opened = file;
        file = null;
        try {
            if (opened != null) {
                opened.close();
            }
        } catch (IOException e) {
            // nothing is lost by failing to close a file that was only read
        }
    }
}
