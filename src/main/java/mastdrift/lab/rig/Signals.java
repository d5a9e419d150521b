package mastdrift.lab.rig;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Stops, wakes and kills processes that were handed to it, by a shell that outlives this program by a moment: when its input ends, because this program has ended in whatever way,
    it kills those that are left. */
public final class Signals implements AutoCloseable {

    // Words come one a line: add PID, del PID, or a signal and a PID. Only digits are ever written here.
    private static final String SCRIPT = "trap '' INT HUP TERM; set -- ; while read -r what pid; do case $what in add) set -- \"$@\" \"$pid\";; "
            + "del) rest=; for each in \"$@\"; do [ \"$each\" = \"$pid\" ] || rest=\"$rest $each\"; done; set -- $rest;; "
            + "*) kill -s \"$what\" \"$pid\" 2>/dev/null;; esac; done; for each in \"$@\"; do kill -s KILL \"$each\" 2>/dev/null; done";
    private static final long END_SECONDS = 5;

    private final Process shell;
    private final PrintStream commands;

    /** Starts the shell. */
    public Signals() throws IOException {
        shell = new ProcessBuilder("/bin/sh", "-c", SCRIPT).redirectOutput(ProcessBuilder.Redirect.DISCARD).redirectError(ProcessBuilder.Redirect.DISCARD).start();
        commands = new PrintStream(shell.getOutputStream(), true, StandardCharsets.US_ASCII);
    }

    /** The process is killed when this ends, until it is let go. */
    public void add(Process process) {
        commands.println("add " + process.pid());
    }

    /** It has ended: its number may be another's soon. */
    public void letGo(Process process) {
        commands.println("del " + process.pid());
    }

    /** Sends STOP, CONT, TERM or KILL to one that was added. */
    public void send(String signal, Process process) {
        if (process.isAlive()) {
            commands.println(signal + " " + process.pid());
        }
    }

    @Override
    public void close() {
        commands.close();
        try {
            shell.waitFor(END_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
