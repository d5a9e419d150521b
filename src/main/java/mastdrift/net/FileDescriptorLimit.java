package mastdrift.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The limit on open file descriptors of this process. */
final class FileDescriptorLimit {

    private static final String LIMIT_NAME = "Max open files";

    private FileDescriptorLimit() { }

    /**
     * The soft limit in force for this process (proc(5), {@code /proc/[pid]/limits}); the largest number where there is
     * none or it can't be read.
     */
    static int softLimit() {
        return softLimit(Path.of("/proc/self/limits"));
    }

    static int softLimit(Path limitsFile) {
        try {
            for (String line : Files.readAllLines(limitsFile)) {
                if (line.startsWith(LIMIT_NAME)) {
                    String soft = line.substring(LIMIT_NAME.length()).strip().split("\\s+")[0];
                    return soft.matches("\\d{1,9}") ? Integer.parseInt(soft) : Integer.MAX_VALUE;
                }
            }
        } catch (IOException e) {
            return Integer.MAX_VALUE;  // a system without /proc
        }
        return Integer.MAX_VALUE;
    }
}
