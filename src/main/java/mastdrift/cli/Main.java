package mastdrift.cli;

import java.io.IOException;

/** The program but for the platform's gateway, which has a main class of its own ({@code mastdrift.net.Main}). */
public final class Main {

    private Main() { }

    /** Runs a command and exits with its status: 0 well, 1 refused, 2 wrong words, 3 held back by a guard. The adapter goes
        its own way: it starts often, and loads neither the command line's library nor any other command. */
    public static void main(String[] args) throws IOException {
        int status = args.length == 1 && args[0].equals("adapter")
                ? mastdrift.wire.Main.run(args, System.in, System.out, System.err) : Commands.run(args, System.out, System.err);
        if (status != 0) {
            System.exit(status);
        }
    }
}
