package mastdrift.agreed.edge;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import mastdrift.agreed.LogMembership.MemberRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Format of the member file. */
class MemberFileTest {

    private static final String FIRST_BUILD_FILE = "{\"id\":\"0a0b0c0d0e0f\",\"begin\":\"one\",\"group\":{\"a\":\"0a0b0c0d0e0f\"},\"tide\":7,\"heard\":{\"b1\":9}}\n2122172928";

    @TempDir
    private Path directory;

    /**
     * Guards against renaming a key of the file along with the code: a file of an earlier build could no longer be
     * read, and the member would withdraw from the log.
     */
    @Test
    void aMemberFileOfTheFirstBuildIsReadAndWrittenUnchanged() throws IOException {
        MemberFile file = new MemberFile(directory);
        Files.writeString(directory.resolve("member.json"), FIRST_BUILD_FILE);
        MemberRecord read = file.read("one", new Random(1));
        assertEquals(new MemberRecord("0a0b0c0d0e0f", "one", Map.of("a", "0a0b0c0d0e0f"), 7, Map.of("b1", 9L)), read);
        assertArrayEquals(FIRST_BUILD_FILE.getBytes(StandardCharsets.UTF_8), MemberFile.encode(read));
    }
}
