package mastdrift.peers.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Generations across restarts, clocks that are set back and write errors. */
class GenerationFileTest {

    @TempDir
    private Path directory;

    /**
     * Guards against a start with an older generation than the one before: because a clock was set back, or because the
     * first build's file is no longer found under its name.
     */
    @Test
    void generationIsLaterThanTheOneWrittenByTheFirstBuild() throws IOException {
        Files.writeString(directory.resolve("life"), "1767225600000000");
        assertEquals(1_767_225_600_000_001L, start(1_000));
        assertEquals("1767225600000001", Files.readString(directory.resolve("life")));
        assertEquals(1_800_000_000_000_000L, start(1_800_000_000_000_000L));
    }

    private long start(long wallClockMicros) throws IOException {
        GenerationFile file = new GenerationFile(directory);
        long generation = file.nextGeneration(wallClockMicros);
        file.write(generation);
        return generation;
    }

    /**
     * The directory can't be written for a while, and the clock is set back: the generation is later than the last one,
     * and the file keeps its content until it can be written again.
     */
    @Test
    void generationIsLaterEvenWhenItCannotBeWritten() throws IOException {
        assertEquals(5_000, start(5_000));
        Path obstacle = Files.createDirectory(directory.resolve("life.new"));
        GenerationFile file = new GenerationFile(directory);
        assertEquals(5_001, file.nextGeneration(1_000));
        assertThrows(IOException.class, () -> file.write(5_001));
        assertEquals("5000", Files.readString(directory.resolve("life")));
        Files.delete(obstacle);
        file.write(5_001);
        assertEquals(5_002, start(1_000));
    }
}
