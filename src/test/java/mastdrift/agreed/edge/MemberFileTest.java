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

class MemberFileTest {

    private static final String FIRST = "{\"id\":\"0a0b0c0d0e0f\",\"begin\":\"one\",\"group\":{\"a\":\"0a0b0c0d0e0f\"},\"tide\":7,\"heard\":{\"b1\":9}}\n2122172928";

    @TempDir
    private Path folder;

    /** Guards against a key of the file that is renamed with the code: the folder of an earlier build would no longer be read, and this member would step aside. */
    @Test
    void aFolderOfTheFirstBuildIsReadAndWrittenAsItWas() throws IOException {
        MemberFile file = new MemberFile(folder);
        Files.writeString(folder.resolve("member.json"), FIRST);
        MemberRecord read = file.read("one", new Random(1));
        assertEquals(new MemberRecord("0a0b0c0d0e0f", "one", Map.of("a", "0a0b0c0d0e0f"), 7, Map.of("b1", 9L)), read);
        assertArrayEquals(FIRST.getBytes(StandardCharsets.UTF_8), MemberFile.bytes(read));
    }
}
