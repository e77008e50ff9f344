/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.settings;

import org.gaugehollow.model.GaugehollowException;
import org.gaugehollow.model.ResultCode;
import org.gaugehollow.net.NetAddress;

/** Checks used by the settings records. */
final class SettingChecks
{
    private SettingChecks()
    {
    }

    static void address(String text, String key)
    {
        if (text == null)
        {
            throw new GaugehollowException(ResultCode.SETTINGS_MISSING, key + ": is required");
        }
        try
        {
            NetAddress.parse(text);
        }
        catch (GaugehollowException e)
        {
            throw new GaugehollowException(ResultCode.SETTINGS_RANGE, key + ": " + e.getMessage(), e);
        }
    }
}
