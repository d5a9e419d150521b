package mastdrift.lab.load;

import mastdrift.lab.draw.Mix;

/** One try of a request. {@code due} in nanoseconds of System.nanoTime; {@code chain} is
    the same for all tries of a request and makes its keys. */
record Shot(long due, int number, Mix.Part part, long chain, int key, int tries) {

    /** Ids are new with every try. */
    String id() {
        return Long.toHexString(chain) + "-" + tries;
    }

    /** The same for all tries of a keyed request. */
    String repeatKey() {
        return "k-" + Long.toHexString(chain);
    }

    Shot again(long dueThen) {
        return new Shot(dueThen, number, part, chain, key, tries + 1);
    }
}
