/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.schedule;

import java.util.List;
import java.util.Optional;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.Json;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.platform.StoredValue;

/**
 * The stored record of the boxes that may vouch for the owner. An owner relies on a witness only
 * while the record names it.
 *
 * @param witnesses addresses of the boxes that may vouch for the owner, or may have vouched for an
 *            earlier one
 * @param unwitnessed whether an owner may renew leases without witness for as long as it may send
 *            commands
 */
record WitnessRecord(List<String> witnesses, boolean unwitnessed)
{
    /** Stands for a missing record: nobody has vouched for anybody. */
    static final WitnessRecord NONE = new WitnessRecord(List.of(), false);
    /** Stands for a record that can't be read. */
    private static final WitnessRecord UNREADABLE = new WitnessRecord(List.of(), true);

    WitnessRecord
    {
        witnesses = List.copyOf(witnesses);
    }

    static WitnessRecord read(Optional<StoredValue> stored)
    {
        try
        {
            return stored
                    .map(value -> Json.read(value.value(), WitnessRecord.class, ResultCode.STORE_BAD_ANSWER))
                    .orElse(NONE);
        }
        catch (GaugehollowException e)
        {
            return UNREADABLE;
        }
    }

    byte[] write()
    {
        return Json.write(this);
    }
}
