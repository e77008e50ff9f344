/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import org.gaugehollow.model.AssignmentMap;

/**
 * Who this process is.
 *
 * @param name the box's name from its settings
 * @param id the name and a suffix of this run, so that a restarted box is never taken for the old
 *            one
 * @param hall its data hall
 * @param peerAddress where peers reach it
 */
public record BoxIdentity(String name, String id, String hall, String peerAddress)
{
    /** @return this box as an entry of its hall's map */
    public AssignmentMap.Member toMember()
    {
        return new AssignmentMap.Member(id, peerAddress);
    }
}
