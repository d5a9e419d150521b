package mastdrift.lab.model;

/**
 * A broken rule.
 *
 * @param rule 1 to 4
 * @param at microseconds from the beginning
 * @param request its number, or -1 where it is about none
 * @param who gateway or node
 * @param why what was expected and what happened
 */
public record Breach(int rule, long at, long request, String who, String why) { }
