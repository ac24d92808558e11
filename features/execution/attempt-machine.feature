Feature: State machine of model attempts

  Scenario: arbitrary interleavings keep the guarantees of a request
    Then the attempt machine keeps its guarantees over 10000 interleavings
