"""Where service was lost, told from the decision logs of one or all boxes."""
