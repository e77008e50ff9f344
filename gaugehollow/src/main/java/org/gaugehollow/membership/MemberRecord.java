/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

/**
 * What a box keeps in the store under its lease.
 *
 * @param box its id
 * @param peerAddress where peers reach it
 * @param leaving whether it is in a planned stop
 */
public record MemberRecord(String box, String peerAddress, boolean leaving)
{
}
