package mastdrift.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** How many descriptors the system lets a process have. */
final class FileDescriptorLimit {

    private static final String NAME = "Max open files";

    private FileDescriptorLimit() { }

    /** The limit in force for this process (proc(5), {@code /proc/[pid]/limits}); the largest number where none is told. */
    static int limit() {
        return limit(Path.of("/proc/self/limits"));
    }

    static int limit(Path limits) {
        try {
            for (String line : Files.readAllLines(limits)) {
                if (line.startsWith(NAME)) {
                    String soft = line.substring(NAME.length()).strip().split("\\s+")[0];
                    return soft.matches("\\d{1,9}") ? Integer.parseInt(soft) : Integer.MAX_VALUE;
                }
            }
        } catch (IOException e) {
            return Integer.MAX_VALUE;  // a system that doesn't tell
        }
        return Integer.MAX_VALUE;
    }
}
