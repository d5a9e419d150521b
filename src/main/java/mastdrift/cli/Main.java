package mastdrift.cli;

import java.io.IOException;

/** Main class of all commands. The platform's gateway has one of its own ({@code mastdrift.net.Main}). */
public final class Main {

    private Main() { }

    /**
     * Runs a command and exits with its status: 0 success, 1 refused, 2 usage error, 3 held back by a guard. The
     * adapter bypasses {@link Commands}: it is started often, and so loads neither the command-line library nor any
     * other command.
     */
    public static void main(String[] args) throws IOException {
        int status = args.length == 1 && args[0].equals("adapter")
                ? mastdrift.wire.Main.run(args, System.in, System.out, System.err) : Commands.run(args, System.out, System.err);
        if (status != 0) {
            System.exit(status);
        }
    }
}
